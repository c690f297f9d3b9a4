import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** One service: a primary and its replicas, each listening on a loopback port. */
final class Group {
    private static final int MAX_CONNECTIONS = 16;
    private static final String END = "end of the connection";

    /** An entry of a log, appended at a time of the run's clock. */
    record Entry(long term, String id, long at) {}

    final String service;
    final int syncReplicas;
    final Map<String, Database> databases = new HashMap<>();
    private final int workMs;
    private final double lagMs;
    long term = 1;
    private volatile long seq;

    /** Called with the id of a client's statement that has reached a database. */
    volatile Consumer<String> onStatement = id -> {};

    /** Called when a replica has carried out PAUSE. */
    volatile Runnable onPause = () -> {};

    /** Ids of statements that reached a database. */
    final Set<String> arrived = ConcurrentHashMap.newKeySet();

    Group(String service, int syncReplicas, int workMs, double lagMs, String... names) throws IOException {
        this.service = service;
        this.syncReplicas = syncReplicas;
        this.workMs = workMs;
        this.lagMs = lagMs;
        for (String name : names) databases.put(name, new Database(name));
        databases.get(names[0]).isPrimary = true;
        databases.values().forEach(Database::listen);
        World.daemon("replication", () -> {
            while (true) {
                Thread.sleep(1);
                replicate();
            }
        });
    }

    /** Registers the databases, and again every heartbeat. */
    void register(Store store, String... zones) {
        List<Database> ordered = new ArrayList<>(databases.values());
        ordered.sort((a, b) -> a.name.compareTo(b.name));
        for (int i = 0; i < ordered.size(); i++) ordered.get(i).zone = zones[i];
        World.daemon("heartbeats", () -> {
            while (true) {
                for (Database database : ordered) publish(store, database);
                Thread.sleep(1_200);
            }
        });
    }

    /** Writes the registration of one database, unless it is dark. */
    void publish(Store store, Database database) {
        if (database.isDark) return;
        store.put("servers/" + database.name, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
            + database.port + "\",\"zone\":\"" + database.zone + "\",\"version\":\"v1\",\"slots\":2,\"state\":\""
            + (database.isDraining ? "draining" : "ready") + "\",\"warmupLeftMs\":0,\"dbRole\":\""
            + (database.isPrimary ? "primary" : "replica") + "\",\"seq\":" + (++seq) + ",\"born\":1790000000000}");
    }

    /** Returns one of the replicas, by turns. */
    synchronized Database replica(int turn) {
        List<Database> replicas = new ArrayList<>();
        databases.values().stream().filter(it -> !it.isPrimary).forEach(replicas::add);
        replicas.sort((a, b) -> a.name.compareTo(b.name));
        return replicas.get(turn % replicas.size());
    }

    synchronized Database primary() {
        return databases.values().stream().filter(it -> it.isPrimary).findFirst().orElse(null);
    }

    private synchronized void replicate() {
        Database primary = databases.values().stream().filter(it -> it.isSource).findFirst().orElse(null);
        if (primary == null || primary.isDark) return;
        long now = World.nowMs();
        for (Database replica : databases.values()) {
            if (replica == primary || replica.isDark || replica.pausedBelow > 0 || replica.isDeaf) continue;
            while (replica.log.size() < primary.log.size()) {
                Entry entry = primary.log.get(replica.log.size());
                if (entry.at + replica.lagOf(replica.log.size()) > now) break;
                replica.log.add(entry);
            }
        }
        notifyAll();
    }

    /** The named database leads the next term with what it has received. */
    synchronized void promote(String name) {
        Database next = databases.get(name);
        if (next.isPrimary) return;
        term++;
        int kept = next.log.size();
        for (Database other : databases.values()) {
            other.isPrimary = false;
            other.isSource = false;
            other.pausedBelow = 0;
            if (other.log.size() > kept) {
                World.note("%s rolls back %d commits", other.name, other.log.size() - kept);
                other.log.subList(kept, other.log.size()).clear();
            }
        }
        next.isPrimary = true;
        next.isSource = true;
        next.term = term;
        World.note("%s leads term %d with %d entries", name, term, kept);
        notifyAll();
    }

    /** One database. State is guarded by the group. */
    final class Database {
        final String name;
        final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        final int port = listener.getLocalPort();
        final List<Entry> log = new ArrayList<>();
        private final List<Long> lags = new ArrayList<>();
        private final Semaphore slots = new Semaphore(2, true);
        private final Random seeded;
        private int connections;
        private long macs;
        String zone;
        volatile boolean isPrimary;
        boolean isSource;
        volatile boolean isDraining;
        volatile boolean isDark;
        volatile boolean isDeaf;
        long term = 1;
        long pausedBelow;

        Database(String name) throws IOException {
            this.name = name;
            seeded = new Random(name.hashCode());
        }

        void listen() {
            if (isPrimary) isSource = true;
            World.daemon(name, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    World.daemon(name + "-connection", () -> {
                        try (socket) {
                            serve(socket);
                        } catch (IOException e) {
                            // The other end has closed it.
                        }
                    });
                }
            });
        }

        /** Time for which the entry at this place is under way to this replica: lognormal, spread 0.6. */
        long lagOf(int place) {
            while (lags.size() <= place) {
                double lag = lagMs * Math.exp(0.6 * seeded.nextGaussian() - 0.18);
                lags.add((long) Math.min(lag, 6 * lagMs));
            }
            return lags.get(place);
        }

        private void awaitLight() {
            try {
                while (isDark) Thread.sleep(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Reads on while a statement runs, so that a connection that its other end closes counts no longer. */
        private void serve(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            BlockingQueue<String> lines = new LinkedBlockingQueue<>();
            AtomicBoolean isCounted = new AtomicBoolean();
            World.daemon(name + "-worker", () -> {
                try {
                    work(socket, lines, isCounted);
                } catch (IOException e) {
                    // The other end has closed it.
                } finally {
                    socket.close();
                }
            });
            try {
                String line;
                while ((line = reader.readLine()) != null) lines.add(line);
            } finally {
                awaitLight();
                lines.add(END);
                synchronized (Group.this) {
                    if (isCounted.getAndSet(false)) connections--;
                }
            }
        }

        private void work(Socket socket, BlockingQueue<String> lines, AtomicBoolean isCounted)
            throws IOException, InterruptedException {
            OutputStream output = socket.getOutputStream();
            Session session = new Session();
            while (true) {
                String line = lines.take();
                if (line.equals(END) || line.equals("TERMINATE")) return;
                awaitLight();
                String reply;
                if (line.startsWith("START ")) {
                    String[] fields = line.split(" ");
                    boolean isOurs = fields[1].equals(service) && (fields.length < 4 || fields[3].equals(name));
                    Thread.sleep(12);
                    if (!isOurs) reply = "ERROR MISROUTED " + name + "\r\n";
                    else if (!count(isCounted)) reply = "ERROR TOOMANY " + name + "\r\n";
                    else reply = session.ready();
                } else {
                    String[] fields = line.split(" ", 3);
                    reply = session.query(fields[1], fields[2]);
                }
                awaitLight();
                output.write(reply.getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
                if (reply.startsWith("ERROR") && !reply.contains("READY")) return;
            }
        }

        private boolean count(AtomicBoolean isCounted) {
            synchronized (Group.this) {
                if (connections >= MAX_CONNECTIONS) return false;
                connections++;
                isCounted.set(true);
                return true;
            }
        }

        /** One connection of an instance. */
        private final class Session {
            private final Map<String, String> prepared = new HashMap<>();
            private String state = "I";
            private boolean isReadOnly;
            private List<String> writes = new ArrayList<>();

            String ready() {
                synchronized (Group.this) {
                    long last = log.isEmpty() ? 1 : log.get(log.size() - 1).term;
                    return "READY " + state + " " + last + "." + log.size() + "\r\n";
                }
            }

            String query(String id, String text) {
                String statement = text;
                if (text.startsWith("AFTER ")) {
                    String[] parts = text.split(" ", 3);
                    statement = parts[2];
                    long number = Long.parseLong(parts[1].substring(parts[1].indexOf('.') + 1));
                    synchronized (Group.this) {
                        if (log.size() < number) return refuse("LAGGING");
                    }
                }
                String word = statement.split(" ")[0];
                if (state.equals("E") && !word.equals("ROLLBACK") && !word.equals("COMMIT")) return refuse("MALFORMED");
                try {
                    return run(id, word, statement);
                } catch (InterruptedException e) {
                    return refuse("BUSY");
                }
            }

            private String run(String id, String word, String statement) throws InterruptedException {
                String[] fields = statement.split(" ");
                switch (word) {
                    case "BEGIN" -> {
                        isReadOnly = fields.length > 1;
                        synchronized (Group.this) {
                            if (!isReadOnly && !isPrimary) return refuse("READONLY");
                        }
                        state = "T";
                        writes = new ArrayList<>();
                        return done("-");
                    }
                    case "ROLLBACK" -> {
                        state = "I";
                        return done("-");
                    }
                    case "SET", "DEALLOC" -> {
                        return done("-");
                    }
                    case "RESET" -> {
                        prepared.clear();
                        return done("-");
                    }
                    case "PREPARE" -> {
                        prepared.put(fields[1], fields[2]);
                        return done("-");
                    }
                    case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> {
                        return administer(word, fields);
                    }
                    case "EXECUTE" -> {
                        String kind = prepared.get(fields[1]);
                        return kind == null ? refuse("NOSTMT") : data(id, kind.equals("WRITE"));
                    }
                    case "READ" -> {
                        return data(id, false);
                    }
                    case "WRITE" -> {
                        return data(id, true);
                    }
                    case "COMMIT" -> {
                        boolean isFailed = state.equals("E");
                        state = "I";
                        if (isFailed) return refuse("ABORTED");
                        return inSlot(() -> writes.isEmpty() ? done(mac()) : commit(writes));
                    }
                    default -> {
                        return refuse("MALFORMED");
                    }
                }
            }

            private String administer(String word, String[] fields) throws InterruptedException {
                if (!slots.tryAcquire(50, TimeUnit.MILLISECONDS)) return refuse("BUSY");
                try {
                    synchronized (Group.this) {
                        if (word.equals("PAUSE") && Long.parseLong(fields[1]) > term) pausedBelow = Long.parseLong(fields[1]);
                        if (word.equals("RESUME")) pausedBelow = 0;
                        if (word.equals("STEPDOWN") && isPrimary && Long.parseLong(fields[1]) > term) isPrimary = false;
                        if (!word.equals("STATUS")) World.note("%s carries out %s", name, String.join(" ", fields));
                        long last = log.isEmpty() ? 1 : log.get(log.size() - 1).term;
                        if (word.equals("PAUSE")) onPause.run();
                        return "ROW " + (isPrimary ? "primary" : "replica") + " " + Group.this.term + " " + last + "."
                            + log.size() + " " + pausedBelow + " 0 0 " + connections + "\r\n" + done("-");
                    }
                } finally {
                    slots.release();
                }
            }

            private String data(String id, boolean isWrite) throws InterruptedException {
                arrived.add(id);
                onStatement.accept(id);
                return inSlot(() -> {
                    synchronized (Group.this) {
                        if (isWrite && !isPrimary) return refuse("READONLY");
                        if (state.equals("T") && !isReadOnly && !isPrimary) return refuse("READONLY");
                    }
                    if (!isWrite) return "ROW x\r\n" + done(mac());
                    if (!state.equals("T")) return commit(List.of(id));
                    writes.add(id);
                    return done(mac());
                });
            }

            private interface Work {
                String run() throws InterruptedException;
            }

            private String inSlot(Work work) throws InterruptedException {
                if (!slots.tryAcquire(2, TimeUnit.SECONDS)) return refuse("BUSY");
                try {
                    Thread.sleep(workMs);
                    awaitLight();
                } finally {
                    slots.release();
                }
                return work.run();
            }

            /** Appends the writes; with syncReplicas the answer waits until a replica has received them. */
            private String commit(List<String> ids) throws InterruptedException {
                synchronized (Group.this) {
                    if (!isPrimary) return refuse("READONLY");
                    long mine = Group.this.term;
                    for (String id : ids) log.add(new Entry(mine, id, World.nowMs()));
                    int end = log.size();
                    while (syncReplicas > 0) {
                        if (Group.this.term != mine) return refuse("FAILED");
                        boolean isHeld = databases.values().stream()
                            .anyMatch(it -> it != Database.this && it.log.size() >= end);
                        if (isHeld) break;
                        Group.this.wait(50);
                    }
                    return done(mac());
                }
            }

            private String mac() {
                synchronized (Group.this) {
                    return name + "." + (++macs);
                }
            }

            private String done(String mac) {
                return "DONE " + mac + "\r\n" + ready();
            }

            private String refuse(String code) {
                if (state.equals("T") && !code.equals("BUSY")) state = "E";
                return "ERROR " + code + " " + name + "\r\n" + ready();
            }
        }
    }
}
