import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, with its limits. */
final class StateService {
    private static final int KEPT_CHANGES = 10_000;

    private record Entry(Object value, long revision, long lease) {}

    private record Change(String key, Object value, long revision) {}

    private static final class Lease {
        final long ttlMs;
        long endsAt;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            touch();
        }

        void touch() {
            endsAt = System.currentTimeMillis() + ttlMs + 50;
        }
    }

    /** A token bucket with a burst of one second's worth. */
    private static final class Bucket {
        private double rate;
        private double tokens;
        private long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            this.tokens = rate;
        }

        boolean take(double count) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + rate * (now - at) / 1e9);
            at = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private int valueBytes;
    private int maxOperations;
    private long ledger;
    private long nextLease = 1;
    private long compactedTo;
    private final HttpServer server;
    /** Counts answers other than 200, 404 and 409, for the record. */
    private final Map<String, Integer> refused = new TreeMap<>();

    StateService(double rps, double writeRps, double valueKb, int maxOperations) throws IOException {
        this.requests = new Bucket(rps);
        this.writes = new Bucket(writeRps);
        this.valueBytes = (int) (valueKb * 1024);
        this.maxOperations = maxOperations;
        this.server = Http.serve(this::handle);
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return Http.address(server);
    }

    /** Lowers the limits, without notice. */
    synchronized void setLimits(double writeRps, double valueKb, int operations) {
        writes.rate = writeRps;
        valueBytes = (int) (valueKb * 1024);
        maxOperations = operations;
    }

    synchronized Map<String, Integer> refused() {
        return new TreeMap<>(refused);
    }

    /** Returns the keys with a prefix and their values, for the record. */
    synchronized Map<String, Object> snapshot(String prefix) {
        Map<String, Object> found = new TreeMap<>();
        keys.tailMap(prefix).forEach((key, entry) -> {
            if (key.startsWith(prefix)) {
                found.put(key, entry.value());
            }
        });
        return found;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.currentTimeMillis();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.endsAt < now) {
                        ended.add(id);
                    }
                });
                ended.forEach(this::end);
            }
            try {
                Thread.sleep(25);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.lease() == lease) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(key -> change(key, null, 0));
            notifyAll();
        }
    }

    private void change(String key, Object value, long lease) {
        if (value == null) {
            if (keys.remove(key) == null) {
                return;
            }
        } else {
            keys.put(key, new Entry(value, ledger, lease));
        }
        changes.add(new Change(key, value, ledger));
        if (changes.size() > KEPT_CHANGES) {
            compactedTo = changes.remove(0).revision();
        }
    }

    private Http.Answer handle(String method, String path, String query, String body) throws Exception {
        Http.Answer answer = answer(method, path, query, body);
        if (answer.status() == 400 || answer.status() == 429) {
            synchronized (this) {
                refused.merge(answer.status() + " " + path.replaceAll("[0-9]+", "N"), 1, Integer::sum);
            }
            if (answer.status() == 400) {
                Log.line("state service answers 400 to " + path + ": " + answer.body());
            }
        }
        return answer;
    }

    private Http.Answer answer(String method, String path, String query, String body) throws Exception {
        synchronized (this) {
            if (!requests.take(1)) {
                return error(429, "too many requests");
            }
        }
        if (path.equals("/txn")) {
            return transaction(Json.object(body));
        } else if (path.equals("/watch")) {
            return watch(query);
        } else if (path.equals("/store")) {
            return list(query);
        } else if (path.startsWith("/store/")) {
            return read(path.substring("/store/".length()));
        } else if (path.equals("/grants")) {
            return grant(Json.object(body));
        } else if (path.startsWith("/grants/")) {
            return touch(Long.parseLong(path.split("/")[2]), method);
        }
        return error(404, "no such path");
    }

    private static Http.Answer error(int status, String text) {
        return new Http.Answer(status, Json.write(Json.map("error", text)));
    }

    private synchronized Http.Answer read(String key) {
        Entry entry = keys.get(key);
        if (entry == null) {
            return new Http.Answer(404, Json.write(Json.map("ledger", ledger)));
        }
        return new Http.Answer(
                200,
                Json.write(Json.map(
                        "key", key, "value", entry.value(), "entry", entry.revision(), "tenancy", entry.lease())));
    }

    private synchronized Http.Answer list(String query) {
        String prefix = Http.parameter(query, "prefix", "");
        String since = Http.parameter(query, "since", "");
        int limit = Math.min(1000, Integer.parseInt(Http.parameter(query, "limit", "1000")));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> found : keys.tailMap(since, false).entrySet()) {
            if (!found.getKey().startsWith(prefix)) {
                continue;
            }
            int size = Json.write(found.getValue().value()).length();
            if (rows.size() == limit || bytes + size > 500_000) {
                more = true;
                break;
            }
            bytes += size + 100;
            rows.add(Json.map(
                    "key", found.getKey(),
                    "value", found.getValue().value(),
                    "entry", found.getValue().revision()));
        }
        return new Http.Answer(200, Json.write(Json.map("rows", rows, "more", more, "ledger", ledger)));
    }

    private synchronized Http.Answer transaction(Map<String, Object> request) {
        List<Map<String, Object>> conditions = Json.objects(request.get("when"));
        List<Map<String, Object>> applied = Json.objects(request.get("apply"));
        if (applied.size() > maxOperations || conditions.size() > 4 * maxOperations) {
            return error(400, "too many operations");
        }
        if (Json.write(request).length() > 64 * 1024) {
            return error(400, "transaction over 64 KiB");
        }
        for (Map<String, Object> operation : applied) {
            if (operation.containsKey("set")) {
                int size = Json.write(operation.get("value")).getBytes(StandardCharsets.UTF_8).length;
                if (size > valueBytes) {
                    return error(400, "value too large: " + operation.get("set") + " has " + size);
                }
                long lease = Json.integer(operation, "tenancy");
                if (lease != 0 && !leases.containsKey(lease)) {
                    return error(400, "no such lease");
                }
            }
        }
        if (!writes.take(Math.max(1, applied.size()))) {
            return error(429, "too many changes");
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Entry entry = keys.get((String) condition.get("key"));
            if ((entry == null ? 0 : entry.revision()) != Json.integer(condition, "entry")) {
                failed.add(condition.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Answer(409, Json.write(Json.map("failed", failed, "ledger", ledger)));
        }
        if (!applied.isEmpty()) {
            ledger++;
            for (Map<String, Object> operation : applied) {
                if (operation.containsKey("set")) {
                    change((String) operation.get("set"), operation.get("value"), Json.integer(operation, "tenancy"));
                } else {
                    change((String) operation.get("delete"), null, 0);
                }
            }
            notifyAll();
        }
        return new Http.Answer(200, Json.write(Json.map("ledger", ledger)));
    }

    private synchronized Http.Answer watch(String query) throws InterruptedException {
        String prefix = Http.parameter(query, "prefix", "");
        long since = Long.parseLong(Http.parameter(query, "since", "0"));
        long until = System.nanoTime() + Long.parseLong(Http.parameter(query, "blockMs", "0")) * 1_000_000;
        while (true) {
            if (since < compactedTo) {
                return error(410, "too old");
            }
            List<Object> found = new ArrayList<>();
            int from = changes.size();
            while (from > 0 && changes.get(from - 1).revision() > since) {
                from--;
            }
            for (Change change : changes.subList(from, changes.size())) {
                if (change.key().startsWith(prefix)) {
                    found.add(
                            change.value() == null
                                    ? Json.map("delete", change.key(), "entry", change.revision())
                                    : Json.map("set", change.key(), "value", change.value(), "entry", change.revision()));
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                return new Http.Answer(200, Json.write(Json.map("ledger", ledger, "log", found)));
            }
            wait(leftMs);
        }
    }

    private synchronized Http.Answer grant(Map<String, Object> request) {
        long id = nextLease++;
        leases.put(id, new Lease(Json.integer(request, "ttlMs")));
        return new Http.Answer(200, Json.write(Json.map("tenancy", id)));
    }

    private synchronized Http.Answer touch(long id, String method) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return error(404, "no such lease");
        }
        if (method.equals("DELETE")) {
            end(id);
        } else {
            lease.touch();
        }
        return new Http.Answer(200, "{}");
    }
}
