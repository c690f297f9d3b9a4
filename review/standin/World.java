import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Clock, record and processes of one run. */
final class World {
    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static final List<Process> processes = new ArrayList<>();
    static Path folder;

    private World() {}

    interface Task {
        void run() throws Exception;
    }

    /** Begins the record and sees to it that the instances end with this process. */
    static void begin() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(World::endAll));
    }

    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long nowMs() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void note(String format, Object... values) {
        if (record == null) return;
        record.printf(Locale.ROOT, "%9.3f ", (System.nanoTime() - START) / 1e9);
        record.printf(Locale.ROOT, format, values);
        record.println();
        record.flush();
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                note("thread %s ended: %s", name, e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** An instance, started by the run line of the deploy file with settings as its template gives them. */
    static final class Instance {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final Path settings;
        private final int metrics = freePort();
        private final int peer = freePort();
        Process process;

        Instance(String name, String zone, int storePort, int orderPort) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".yaml");
            Files.writeString(settings, String.join("\n",
                "instance: \"" + name + "\"",
                "availability_zone: \"" + zone + "\"",
                "front_address: \"127.0.0.1:" + front + "\"",
                "ready_address: \"127.0.0.1:" + ready + "\"",
                "store_address: \"127.0.0.1:" + storePort + "\"",
                "order_address: \"127.0.0.1:" + orderPort + "\"",
                "metrics_address: \"127.0.0.1:" + metrics + "\"",
                "grace_seconds: 6.0",
                "peer_address: \"127.0.0.1:" + peer + "\"",
                "config_apply_ms: 3000") + "\n");
        }

        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst().orElseThrow();
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
            builder.environment().put("YUCCAWIND_NODE_FILE", settings.toString());
            File log = Path.of(System.getProperty("logs"), name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
            Process started = process;
            started.onExit().thenAccept(it -> note("process of %s ended with code %d", name, it.exitValue()));
            note("process of %s started, front port %d", name, front);
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("%s gets SIG%s", name, signal);
            new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket("127.0.0.1", ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                byte[] head = socket.getInputStream().readNBytes(12);
                return new String(head).endsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            long end = nowMs() + 30_000;
            while (!isReady()) {
                if (nowMs() > end) stop(2, name + " was not ready in time");
                Thread.sleep(20);
            }
            note("%s is ready", name);
        }
    }

    static void endAll() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Ends the run: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void stop(int code, String reason) {
        note("result %d: %s", code, reason);
        System.out.println("result " + code + ": " + reason);
        System.exit(code);
    }
}
