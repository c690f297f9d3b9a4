import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store and the failover endpoint, on one loopback port each. */
final class Store {
    private record Item(String value, long revision, long createdRev, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private static final class Lease {
        final long ttlMs;
        final Set<String> keys = new HashSet<>();
        long endsAt;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            this.endsAt = World.nowMs() + ttlMs;
        }
    }

    /** Receives an order: service, id, holder and fence number. Returns the status of the answer, or 0 for none. */
    interface Orders {
        int order(String service, String id, String holder, long fence) throws Exception;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private long nextLease = 100;
    final int port;
    final int orderPort;

    Store(Orders orders) throws IOException {
        HttpServer server = listen();
        server.createContext("/v1/", this::handle);
        server.start();
        port = server.getAddress().getPort();
        HttpServer orderServer = listen();
        orderServer.createContext("/failover", exchange -> handleOrder(exchange, orders));
        orderServer.start();
        orderPort = orderServer.getAddress().getPort();
        World.daemon("leases", () -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    private static HttpServer listen() throws IOException {
        HttpServer server =
            HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        return server;
    }

    synchronized void put(String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        write(key, value, 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        delete(key, ++revision);
        notifyAll();
    }

    private void write(String key, String value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(value, at, before == null ? at : before.createdRev, lease);
        items.put(key, item);
        history.add(new Event(key, item, at));
    }

    private void delete(String key, long at) {
        if (items.remove(key) != null) history.add(new Event(key, null, at));
    }

    private synchronized void expire() {
        long now = World.nowMs();
        for (Long id : new ArrayList<>(leases.keySet())) if (leases.get(id).endsAt <= now) end(id);
    }

    private void end(long id) {
        Lease lease = leases.remove(id);
        long at = ++revision;
        for (String key : lease.keys) {
            Item item = items.get(key);
            if (item != null && item.lease == id) delete(key, at);
        }
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath().substring("/v1/".length());
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String verb = path.contains("/") ? path.substring(0, path.indexOf('/')) : path;
        long id = path.contains("/") ? Long.parseLong(path.substring(path.indexOf('/') + 1)) : 0;
        try {
            switch (verb) {
                case "kv-key" -> get(exchange, query.get("key"));
                case "kv-range" -> range(exchange, query.get("prefix"));
                case "kv-watch" -> watch(exchange, query);
                case "kv-txn" -> change(exchange, Json.object(body));
                case "kv-lease" -> grant(exchange, (Long) Json.object(body).get("ttlMs"));
                case "kv-keep" -> keep(exchange, id);
                case "kv-lease-end" -> endLease(exchange, id);
                default -> answer(exchange, 404, "{}");
            }
        } catch (InterruptedException e) {
            answer(exchange, 503, "{}");
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            int cut = part.indexOf('=');
            query.put(part.substring(0, cut), URLDecoder.decode(part.substring(cut + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private String json(String key, Item item) {
        return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
            + ",\"createdRev\":" + item.createdRev + ",\"lease\":" + item.lease
            + ",\"storeRevision\":" + revision + "}";
    }

    private void get(HttpExchange exchange, String key) throws IOException {
        String body;
        synchronized (this) {
            Item item = items.get(key);
            body = item == null ? null : json(key, item);
        }
        answer(exchange, body == null ? 404 : 200, body == null ? "{}" : body);
    }

    private void range(HttpExchange exchange, String prefix) throws IOException {
        StringBuilder body = new StringBuilder("{\"items\":[");
        synchronized (this) {
            String comma = "";
            for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) break;
                body.append(comma).append(json(entry.getKey(), entry.getValue()));
                comma = ",";
            }
            body.append("],\"hasMore\":false,\"storeRevision\":").append(revision).append('}');
        }
        answer(exchange, 200, body.toString());
    }

    private void watch(HttpExchange exchange, Map<String, String> query)
        throws IOException, InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = World.nowMs() + Long.parseLong(query.get("waitMs"));
        StringBuilder body = new StringBuilder("{\"events\":[");
        synchronized (this) {
            while (history.stream().noneMatch(e -> e.revision > after && e.key.startsWith(prefix))) {
                long left = end - World.nowMs();
                if (left <= 0) break;
                wait(left);
            }
            String comma = "";
            for (Event event : history) {
                if (event.revision <= after || !event.key.startsWith(prefix)) continue;
                body.append(comma).append(event.item != null
                    ? json(event.key, event.item)
                    : "{\"key\":" + Json.quote(event.key) + ",\"revision\":" + event.revision + ",\"deleted\":true}");
                comma = ",";
            }
            body.append("],\"storeRevision\":").append(revision).append('}');
        }
        answer(exchange, 200, body.toString());
    }

    @SuppressWarnings("unchecked")
    private void change(HttpExchange exchange, Map<String, Object> body) throws IOException {
        int status;
        String text = "{}";
        synchronized (this) {
            status = check(body);
            if (status == 200) {
                long at = ++revision;
                for (Object row : (List<Object>) body.getOrDefault("puts", List.of())) {
                    Map<String, Object> put = (Map<String, Object>) row;
                    long lease = (Long) put.getOrDefault("lease", 0L);
                    if (lease != 0) leases.get(lease).keys.add((String) put.get("key"));
                    write((String) put.get("key"), (String) put.get("value"), lease, at);
                }
                for (Object key : (List<Object>) body.getOrDefault("deletes", List.of())) delete((String) key, at);
                text = "{\"revision\":" + at + "}";
                notifyAll();
            } else if (status == 412) {
                text = "{\"items\":[]}";
            }
        }
        answer(exchange, status, text);
    }

    @SuppressWarnings("unchecked")
    private int check(Map<String, Object> body) {
        for (Object row : (List<Object>) body.getOrDefault("expectedRev", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("key"));
            if ((item == null ? 0 : item.revision) != (Long) expected.get("revision")) return 412;
        }
        for (Object row : (List<Object>) body.getOrDefault("puts", List.of())) {
            long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) return 404;
        }
        return 200;
    }

    private void grant(HttpExchange exchange, long ttlMs) throws IOException {
        long id;
        synchronized (this) {
            id = ++nextLease;
            leases.put(id, new Lease(ttlMs));
        }
        answer(exchange, 200, "{\"lease\":" + id + ",\"ttlMs\":" + ttlMs + "}");
    }

    private void keep(HttpExchange exchange, long id) throws IOException {
        Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) lease.endsAt = World.nowMs() + lease.ttlMs;
        }
        if (lease == null) answer(exchange, 404, "{}");
        else answer(exchange, 200, "{\"lease\":" + id + ",\"ttlMs\":" + lease.ttlMs + "}");
    }

    private void endLease(HttpExchange exchange, long id) throws IOException {
        boolean isKnown;
        synchronized (this) {
            isKnown = leases.containsKey(id);
            if (isKnown) end(id);
        }
        answer(exchange, isKnown ? 200 : 404, "{}");
    }

    private static void handleOrder(HttpExchange exchange, Orders orders) throws IOException {
        Map<String, Object> body =
            Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Yuccawind-Fencing-Token"));
        String holder = exchange.getRequestHeaders().getFirst("Yuccawind-Lease-Holder");
        try {
            int status = orders.order((String) body.get("service"), (String) body.get("id"), holder, fence);
            if (status == 0) return; // No answer: the connection stays open and silent.
            answer(exchange, status, "{}");
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
