import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Services with one synchronous replica. One replica of each is about to be replaced and drains; the primaries crash
 * meanwhile.
 */
final class LeavingReplica {
    private static final String[] ZONES = {"ch-mitte-a", "ch-mitte-b", "ch-mitte-c"};
    private static final String[] SERVICES = {"core-1", "core-2", "core-3"};
    private static final int SESSIONS = 15;
    private static final int PAUSE_MS = 5;
    private static final int DRAINING_MS = 3_000;
    private static final int CRASHED_MS = 5_000;
    private static final int ROUNDS = 4;
    private static final int REST_MS = 8_000;
    private static final int PROMOTE_MS = 600;

    public static void main(String[] args) throws Exception {
        World.begin();
        Map<String, Group> groups = new LinkedHashMap<>();
        for (String service : SERVICES) {
            groups.put(service, new Group(service, 1, 4, 60, service + "-1", service + "-2", service + "-3"));
        }
        Map<String, Long> fences = new ConcurrentHashMap<>();
        Store store = new Store((service, id, holder, fence) -> {
            int status = carryOut(groups.get(service), fences, service, id, fence);
            World.note("order from %s: %s leads %s, fence %d: %d", holder, id, service, fence, status);
            return status;
        });
        store.put("op/config", config());
        for (Group group : groups.values()) group.register(store, ZONES);
        World.Instance[] instances = new World.Instance[3];
        for (int i = 0; i < 3; i++) {
            instances[i] = new World.Instance("front-" + ZONES[i] + "-1", ZONES[i], store.port, store.orderPort);
            instances[i].start();
        }
        for (World.Instance instance : instances) instance.awaitReady();

        Set<String> acked = ConcurrentHashMap.newKeySet();
        AtomicLong sent = new AtomicLong();
        for (int i = 0; i < SESSIONS; i++) {
            String prefix = Integer.toHexString(0x1000 + i);
            int port = instances[i / SERVICES.length % 3].front;
            String database = "db-" + SERVICES[i % SERVICES.length];
            World.daemon("session " + prefix, () -> {
                int number = 0;
                while (true) {
                    try (Client client = new Client(port, database)) {
                        while (true) {
                            String id = String.format("%s%08x", prefix, ++number);
                            sent.incrementAndGet();
                            String answer = client.query(id, "WRITE 1a4 " + id, 2_000);
                            World.note("%s write: %s", id, answer);
                            if (answer.startsWith("DONE")) acked.add(id);
                            if (answer.equals("cut") || answer.equals("late")) break;
                            Thread.sleep(PAUSE_MS);
                        }
                    } catch (java.io.IOException e) {
                        Thread.sleep(50);
                    }
                }
            });
        }
        Thread.sleep(4_000);
        for (int round = 1; round <= ROUNDS; round++) {
            World.note("round %d", round);
            if (World.isTrouble()) {
                List<Group.Database> leaving = new ArrayList<>();
                List<Group.Database> primaries = new ArrayList<>();
                for (Group group : groups.values()) {
                    Group.Database replica = group.replica(round);
                    replica.isDraining = true;
                    group.publish(store, replica);
                    World.note("%s reports draining", replica.name);
                    leaving.add(replica);
                    primaries.add(group.primary());
                }
                Thread.sleep(DRAINING_MS);
                primaries.forEach(it -> it.isDark = true);
                primaries.forEach(it -> World.note("%s crashes", it.name));
                Thread.sleep(CRASHED_MS);
                for (Group.Database primary : primaries) primary.isDark = false;
                for (Group.Database replica : leaving) replica.isDraining = false;
                World.note("the primaries are back; new databases with the logs of the leaving ones take their places");
            }
            Thread.sleep(REST_MS);
            Set<String> lost = lost(acked, groups.values());
            if (!lost.isEmpty()) {
                lost.forEach(id -> World.note("lost: %s", id));
                World.note("sent %d, acknowledged %d, lost %d", sent.get(), acked.size(), lost.size());
                World.stop(1, "LOST: " + lost.size() + " acknowledged writes are not in the log of the promoted"
                    + " database, in round " + round);
            }
        }
        World.note("sent %d, acknowledged %d", sent.get(), acked.size());
        if (acked.size() < 100) World.stop(2, "too few writes were acknowledged");
        World.stop(0, "every acknowledged write is in the log of its primary");
    }

    /** Acknowledged writes that are missing in the logs of the primaries. */
    private static Set<String> lost(Set<String> acked, Collection<Group> groups) {
        Set<String> lost = new HashSet<>(acked);
        for (Group group : groups) {
            synchronized (group) {
                group.primary().log.forEach(entry -> lost.remove(entry.id()));
            }
        }
        return lost;
    }

    private static int carryOut(Group group, Map<String, Long> fences, String service, String id, long fence) throws Exception {
        if (fences.merge(service, fence, Math::max) > fence) return 409;
        Group.Database database = group.databases.get(id);
        if (database == null || database.isDark) return 409;
        World.daemon("promotion", () -> {
            Thread.sleep(PROMOTE_MS);
            group.promote(id);
        });
        return 200;
    }

    private static String config() {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (String service : SERVICES) {
            routes.append(routes.isEmpty() ? "" : ",").append("{\"name\":\"r-").append(service)
                .append("\",\"database\":\"db-").append(service).append("\",\"type\":\"primary\",\"timeoutMs\":800,")
                .append("\"targetLatencyMs\":150,\"priority\":1,\"service\":\"").append(service).append("\"}");
            services.append(services.isEmpty() ? "" : ",").append("{\"name\":\"").append(service)
                .append("\",\"healthPath\":\"/health\",\"maxConnections\":16,\"protocol\":\"h1\",\"tls\":false,")
                .append("\"syncReplicas\":1}");
        }
        return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"limits\":{\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}";
    }
}
