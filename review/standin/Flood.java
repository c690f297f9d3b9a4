import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * No case, but a trial behind an entry of KNOWN-RED.txt: sessions send a message whose line does not end, beside six
 * sessions that read. Arguments: the number of sessions and the bytes of each message.
 */
final class Flood {
    private static final int SENT_S = 8;
    private static final int AFTER_S = 21;

    public static void main(String[] args) throws Exception {
        World.begin();
        Group group = new Group("match-core", 0, 20, 60, "i-1", "i-2", "i-3");
        Store store = new Store((service, id, holder, fence) -> 200);
        store.put("op/config", StartSignal.config(0));
        group.register(store, "ch-mitte-a", "ch-mitte-b", "ch-mitte-c");
        World.Instance instance = new World.Instance("front-ch-mitte-a-1", "ch-mitte-a", store.port, store.orderPort);
        instance.start();
        instance.awaitReady();
        AtomicLong served = new AtomicLong();
        for (int i = 0; i < 6; i++) {
            String prefix = Integer.toHexString(0x1000 + i);
            World.daemon("session " + prefix, () -> {
                int number = 0;
                while (true) {
                    try (Client client = new Client(instance.front, "lepu270")) {
                        String answer = "";
                        while (!answer.equals("cut") && !answer.equals("late")) {
                            answer = client.query(String.format("%s%08x", prefix, ++number), "READ 1a4", 2_000);
                            if (answer.startsWith("DONE")) served.incrementAndGet();
                        }
                    } catch (IOException e) {
                        Thread.sleep(50);
                    }
                }
            });
        }
        Thread.sleep(2_000);
        World.note("before: %d served in 2 s", served.getAndSet(0));
        byte[] message = new byte[Integer.parseInt(args[1])];
        Arrays.fill(message, (byte) 'a');
        List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            World.daemon("sender", () -> {
                Socket socket = new Socket("127.0.0.1", instance.front);
                sockets.add(socket);
                socket.getOutputStream().write("START lepu270 u1\r\nQUERY 1 WRITE 1a4 ".getBytes());
                socket.getOutputStream().write(message);
            });
        }
        int idle = count(served, SENT_S, "sent");
        for (Socket socket : sockets) socket.close();
        idle += count(served, AFTER_S, "closed");
        World.stop(idle >= 3 ? 1 : 0, idle + " seconds in which nothing was served");
    }

    /** Notes what is served in each second. Returns in how many nothing was. */
    private static int count(AtomicLong served, int seconds, String when) throws InterruptedException {
        int idle = 0;
        for (int i = 1; i <= seconds; i++) {
            Thread.sleep(1_000);
            long count = served.getAndSet(0);
            if (count == 0) idle++;
            World.note("%s, second %d: %d served", when, i, count);
        }
        return idle;
    }
}
