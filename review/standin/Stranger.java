import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.Map;

/**
 * Another writer has left an entry among the registrations that lacks most fields. All instances lose power together
 * with the primary, which doesn't come back.
 */
final class Stranger {
    private static final String[] ZONES = {"ch-mitte-a", "ch-mitte-b", "ch-mitte-c"};
    private static final int SESSIONS = 6;
    private static final int PAUSE_MS = 100;
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
        Group group = new Group("match-core", 0, 4, 60, "i-1", "i-2", "i-3");
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
        store.put("op/config", StartSignal.config(0));
        group.register(store, ZONES);
        boolean isEntryThere = World.isTrouble() && !"0".equals(System.getenv("STRANGER"));
        if (isEntryThere) {
            // Lacks version, slots, warmupLeftMs, seq and born; nothing listens at the address.
            store.put("servers/inventory-7", "{\"service\":\"match-core\",\"address\":\"127.0.0.1:" + World.freePort()
                + "\",\"zone\":\"ch-mitte-b\",\"state\":\"ready\",\"dbRole\":\"replica\"}");
        }
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
                            String answer = client.query(id, number % 3 == 0 ? "WRITE 1a4 " + id : "READ 1a4", 2_000);
                            World.note("%s %s", id, answer);
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
            Group.Database primary = group.primary();
            primary.isDark = true;
            for (World.Instance instance : instances) instance.process.destroyForcibly();
            World.note("all instances and %s lose power", primary.name);
            World.daemon("expiry", () -> {
                Thread.sleep(3 * 1_200);
                store.remove("servers/" + primary.name);
                World.note("the entry of %s is removed", primary.name);
            });
            Thread.sleep(DOWN_MS);
            for (World.Instance instance : instances) instance.start();
        }
        World.note("the machines are back");
        Thread.sleep(RECOVERY_MS);
        Count after = new Count();
        counted.set(after);
        Thread.sleep(JUDGED_MS);
        for (Group.Database database : group.databases.values()) {
            World.note("%s: primary %s, dark %s, %d entries", database.name, database.isPrimary, database.isDark,
                database.log.size());
        }
        World.note("served before %s, after %s", before, after);
        if (before.isBelowAQuarter() || after.asked.get() == 0) World.stop(2, "too little was served before");
        if (after.isBelowAQuarter()) {
            World.stop(1, "RECOVER: served before " + before + ", later than 12 s after the return " + after);
        }
        World.stop(0, "served before " + before + ", later than 12 s after the return " + after);
    }
}
