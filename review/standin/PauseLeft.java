import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.Map;

/**
 * A service with one synchronous replica. Its primary goes dark for a while; all instances are killed right after
 * a replica has acknowledged a PAUSE, and start again.
 */
final class PauseLeft {
    private static final String[] ZONES = {"ch-mitte-a", "ch-mitte-b", "ch-mitte-c"};
    private static final int SESSIONS = 6;
    private static final int PAUSE_MS = 100;
    private static final int DARK_MS = 3_000;
    private static final int DOWN_MS = 1_200;
    private static final int RECOVERY_MS = 12_000;
    private static final int JUDGED_MS = 20_000;
    private static final int PROMOTE_MS = 600;

    private static final class Count {
        final AtomicLong asked = new AtomicLong();
        final AtomicLong served = new AtomicLong();

        boolean isBelowAQuarter() {
            return served.get() * 4 < asked.get();
        }

        @Override
        public String toString() {
            return served + " of " + asked;
        }
    }

    public static void main(String[] args) throws Exception {
        World.begin();
        Group group = new Group("match-core", 1, 4, 60, "i-1", "i-2", "i-3");
        Map<String, Long> fences = new ConcurrentHashMap<>();
        Store store = new Store((service, id, holder, fence) -> {
            World.note("order from %s: %s leads %s, fence %d", holder, id, service, fence);
            if (fences.merge(service, fence, Math::max) > fence || group.databases.get(id).isDark) return 409;
            World.daemon("promotion", () -> {
                Thread.sleep(PROMOTE_MS);
                group.promote(id);
            });
            return 200;
        });
        store.put("op/config", StartSignal.config(1));
        group.register(store, ZONES);
        World.Instance[] instances = new World.Instance[3];
        for (int i = 0; i < 3; i++) {
            instances[i] = new World.Instance("front-" + ZONES[i] + "-1", ZONES[i], store.port, store.orderPort);
            instances[i].start();
        }
        for (World.Instance instance : instances) instance.awaitReady();

        AtomicReference<Count> counted = new AtomicReference<>(new Count());
        Count before = counted.get();
        for (int i = 0; i < SESSIONS; i++) {
            String prefix = Integer.toHexString(0x1000 + i);
            int port = instances[i % 3].front;
            World.daemon("session " + prefix, () -> {
                int number = 0;
                while (true) {
                    try (Client client = new Client(port, "lepu270")) {
                        while (true) {
                            String id = String.format("%s%08x", prefix, ++number);
                            Count count = counted.get();
                            count.asked.incrementAndGet();
                            String answer = client.query(id, "WRITE 1a4 " + id, 2_000);
                            World.note("%s write: %s", id, answer);
                            if (answer.startsWith("DONE")) count.served.incrementAndGet();
                            if (answer.equals("cut") || answer.equals("late")) break;
                            Thread.sleep(PAUSE_MS);
                        }
                    } catch (java.io.IOException e) {
                        Thread.sleep(50);
                    }
                }
            });
        }
        Thread.sleep(6_000);
        counted.set(new Count());
        if (World.isTrouble()) {
            CountDownLatch paused = new CountDownLatch(1);
            group.onPause = paused::countDown;
            Group.Database primary = group.primary();
            World.note("%s goes dark for %d ms", primary.name, DARK_MS);
            long darkUntil = World.nowMs() + DARK_MS;
            primary.isDark = true;
            World.daemon("return", () -> {
                Thread.sleep(DARK_MS);
                primary.isDark = false;
                World.note("%s is back", primary.name);
            });
            if (!paused.await(DARK_MS, TimeUnit.MILLISECONDS)) World.stop(2, "no replica was paused");
            for (World.Instance instance : instances) instance.process.destroyForcibly();
            World.note("all instances are killed");
            Thread.sleep(DOWN_MS);
            for (World.Instance instance : instances) instance.start();
            Thread.sleep(Math.max(0, darkUntil - World.nowMs()));
        }
        for (World.Instance instance : instances) instance.awaitReady();
        Thread.sleep(RECOVERY_MS);
        Count after = new Count();
        counted.set(after);
        Thread.sleep(JUDGED_MS);
        for (Group.Database database : group.databases.values()) {
            World.note("%s: primary %s, %d entries, paused below term %d", database.name, database.isPrimary,
                database.log.size(), database.pausedBelow);
        }
        World.note("served before %s, after %s", before, after);
        if (before.isBelowAQuarter() || after.asked.get() == 0) World.stop(2, "too little was served before");
        if (after.isBelowAQuarter()) {
            World.stop(1, "RECOVER: served before " + before + ", later than 12 s after the return " + after);
        }
        World.stop(0, "served before " + before + ", later than 12 s after the return " + after);
    }
}
