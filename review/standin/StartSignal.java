import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two of the three instances of a zone start again, and the platform uses all of them, since fewer than half are in
 * rotation. A signal reaches one that serves its first clients. Arguments: HUP or TERM, and the time in milliseconds
 * from its first statement at a database to the signal.
 */
final class StartSignal {
    private static final String ZONE = "ch-mitte-a";
    private static final int SESSIONS = 16;

    /** Sessions of the instance that gets the signal; the others are spread over the other two. */
    private static final int ITS_SESSIONS = 10;
    private static final int BUDGET_MS = 2_000;

    public static void main(String[] args) throws Exception {
        String signal = args[0];
        long delayMs = Long.parseLong(args[1]);
        World.begin();
        Group group = new Group("match-core", 0, 20, 60, "i-1", "i-2", "i-3");
        Store store = new Store((service, id, holder, fence) -> 200);
        store.put("op/config", config(0));
        group.register(store, ZONE, "ch-mitte-b", "ch-mitte-c");
        World.Instance[] instances = new World.Instance[3];
        for (int i = 0; i < 3; i++) {
            instances[i] = new World.Instance("front-" + ZONE + "-" + (i + 1), ZONE, store.port, store.orderPort);
        }
        World.Instance instance = instances[0];
        instances[2].start();
        instances[2].awaitReady();

        CountDownLatch first = new CountDownLatch(1);
        String firstPrefix = prefix(0);
        group.onStatement = id -> {
            if (id.startsWith(firstPrefix)) first.countDown();
        };
        Set<String> cut = ConcurrentHashMap.newKeySet();
        AtomicLong answered = new AtomicLong();
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicLong signalAt = new AtomicLong(Long.MAX_VALUE);
        List<Thread> sessions = new ArrayList<>();
        instance.start();
        instances[1].start();
        for (int i = 0; i < SESSIONS; i++) {
            int target = i < ITS_SESSIONS ? 0 : 1 + i % 2;
            String prefix = prefix(target);
            int number0 = i << 16;
            int port = instances[target].front;
            sessions.add(World.daemon("session", () -> {
                int number = number0;
                while (!isOver.get()) {
                    try (Client client = new Client(port, "lepu270")) {
                        while (!isOver.get()) {
                            String id = String.format("%s%08x", prefix, ++number);
                            long sentAt = World.nowMs();
                            String answer = client.query(id, "READ 1a4", BUDGET_MS);
                            if (answer.startsWith("DONE")) answered.incrementAndGet();
                            else World.note("%s sent at %d ms: %s%s", id, sentAt, answer,
                                group.arrived.contains(id) ? ", a database has it" : "");
                            boolean isCounted = sentAt <= signalAt.get() + 3_000 && World.nowMs() >= signalAt.get();
                            if (answer.equals("cut") && group.arrived.contains(id) && isCounted) cut.add(id);
                            if (answer.equals("cut") || answer.equals("late")) break;
                        }
                    } catch (java.io.IOException e) {
                        Thread.sleep(5);
                    }
                }
            }));
        }
        if (!first.await(20, TimeUnit.SECONDS)) World.stop(2, "no statement reached a database");
        World.note("the first statement of the starting instance has reached a database");
        Thread.sleep(delayMs);
        if (World.isTrouble()) {
            signalAt.set(World.nowMs());
            instance.signal(signal);
        }
        Thread.sleep(3_000);
        isOver.set(true);
        for (Thread session : sessions) session.join(3_000);
        World.note("answered %d, cut %d", answered.get(), cut.size());
        if (!instance.process.isAlive()) World.note("the process has ended");
        if (answered.get() == 0 && cut.isEmpty()) World.stop(2, "nothing was served");
        if (cut.isEmpty()) World.stop(0, "every statement that reached a database was answered");
        World.stop(1, "LOST: " + cut.size() + " statements reached a database and were cut by SIG" + signal
            + "; process alive: " + instance.process.isAlive());
    }

    /** First characters of the ids of the statements sent to an instance. */
    private static String prefix(int instance) {
        return "100" + instance;
    }

    static String config(int syncReplicas) {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"database\":\"lepu270\",\"type\":\"primary\","
            + "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"match-core\"}],"
            + "\"services\":[{\"name\":\"match-core\",\"healthPath\":\"/health\",\"maxConnections\":16,"
            + "\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":" + syncReplicas + "}],"
            + "\"limits\":{\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}";
    }
}
