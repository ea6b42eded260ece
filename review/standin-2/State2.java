import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the state service. Each controller has an entrance of its own, which can be closed or held. */
final class State2 {
    enum Mode {
        SERVES,
        /** Answers 503 and executes nothing; open watches wait. */
        REFUSES,
        /** Holds what arrives, and executes it once the entrance serves again. */
        HOLDS
    }

    private record Row(Object value, long entry, long tenancy) {}

    private record Change(String key, boolean delete, Object value, long entry) {}

    static final class Entrance {
        volatile Mode mode = Mode.SERVES;
        volatile long delayMs;
        String address;
    }

    private static final int KEPT_CHANGES = 10_000;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Long> expiry = new HashMap<>();
    private final Map<Long, Long> ttl = new HashMap<>();
    private long ledger = 1;
    private long nextTenancy = 1;
    volatile int valueBytes;
    volatile int txnOps;
    volatile double rps;
    volatile double writeRps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    final Map<String, Integer> refusedBodies = new TreeMap<>();
    long largestWatch;
    long changesSeen;
    long bytesWritten;

    State2(double valueKb, int txnOps, double rps, double writeRps) {
        this.valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        this.rps = rps;
        this.writeRps = writeRps;
        requestTokens = rps;
        writeTokens = writeRps;
        Http2.start(() -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    Entrance entrance() throws IOException {
        Entrance entrance = new Entrance();
        entrance.address = Http2.serve((method, path, query, body) -> {
            if (entrance.delayMs > 0) {
                Thread.sleep(entrance.delayMs);
            }
            while (entrance.mode == Mode.HOLDS) {
                Thread.sleep(10);
            }
            if (entrance.mode == Mode.REFUSES) {
                return new Http2.Answer(503, "{\"error\":\"trouble\"}");
            }
            return handle(entrance, method, path, query, body);
        });
        return entrance;
    }

    private static Http2.Answer answer(int status, Object... pairs) {
        return new Http2.Answer(status, Json2.write(Json2.of(pairs)));
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        for (long id : List.copyOf(expiry.keySet())) {
            if (expiry.get(id) < now) {
                end(id);
            }
        }
    }

    private void end(long id) {
        expiry.remove(id);
        ttl.remove(id);
        List<String> keys = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (row.tenancy == id) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            ledger++;
            keys.forEach(key -> {
                rows.remove(key);
                add(new Change(key, true, null, ledger));
            });
            notifyAll();
        }
    }

    /** Gives every lease its full time again, as after an outage. */
    synchronized void renewAll() {
        ttl.forEach((id, ms) -> expiry.put(id, System.nanoTime() + ms * 1_000_000 + 20_000_000));
    }

    synchronized void pauseLeases() {
        expiry.replaceAll((id, at) -> Long.MAX_VALUE);
    }

    private void add(Change change) {
        changes.add(change);
        changesSeen++;
        if (changes.size() > KEPT_CHANGES) {
            changes.poll();
        }
    }

    private boolean takeRequest() {
        long now = System.nanoTime();
        double s = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + rps * s);
        writeTokens = Math.min(writeRps, writeTokens + writeRps * s);
        if (requestTokens < 1) {
            return false;
        }
        requestTokens--;
        return true;
    }

    private synchronized Http2.Answer handle(
            Entrance entrance, String method, String path, Map<String, String> query, String body) throws Exception {
        if (!takeRequest()) {
            return answer(429, "error", "too many requests");
        }
        if (path.equals("/txn")) {
            return transact(Json2.object(body), body);
        } else if (path.equals("/store")) {
            return list(query);
        } else if (path.startsWith("/store/")) {
            String key = path.substring("/store/".length());
            Row row = rows.get(key);
            return row == null
                    ? answer(404, "ledger", ledger)
                    : answer(200, "key", key, "value", row.value, "entry", row.entry, "tenancy", row.tenancy);
        } else if (path.equals("/grants")) {
            long ms = Json2.integer(Json2.object(body).get("ttlMs"));
            long id = nextTenancy++;
            ttl.put(id, ms);
            expiry.put(id, System.nanoTime() + ms * 1_000_000 + 20_000_000);
            return answer(200, "tenancy", id);
        } else if (path.endsWith("/touch")) {
            long id = Long.parseLong(path.split("/")[2]);
            if (!expiry.containsKey(id)) {
                return answer(404, "error", "no such lease");
            }
            expiry.put(id, System.nanoTime() + ttl.get(id) * 1_000_000 + 20_000_000);
            return answer(200, "tenancy", id);
        } else if (path.equals("/watch")) {
            return watch(entrance, query);
        }
        return answer(400, "error", "malformed");
    }

    private Http2.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String since = query.getOrDefault("since", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Row> entry : rows.tailMap(since, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.add(Json2.of("key", entry.getKey(), "value", entry.getValue().value, "entry", entry.getValue().entry));
        }
        return answer(200, "rows", found, "more", more, "ledger", ledger);
    }

    private Http2.Answer watch(Entrance entrance, Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long since = Long.parseLong(query.get("since"));
        long until = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("blockMs", "0"));
        while (true) {
            if (entrance.mode == Mode.SERVES) {
                if (changes.size() == KEPT_CHANGES && since < changes.peek().entry - 1) {
                    return answer(410, "error", "too old");
                }
                List<Object> log = new ArrayList<>();
                for (Change change : changes) {
                    if (change.entry > since && change.key.startsWith(prefix)) {
                        log.add(change.delete
                                ? Json2.of("delete", change.key, "entry", change.entry)
                                : Json2.of("set", change.key, "value", change.value, "entry", change.entry));
                    }
                }
                if (!log.isEmpty() || System.nanoTime() >= until) {
                    Http2.Answer answer = answer(200, "ledger", ledger, "log", log);
                    largestWatch = Math.max(largestWatch, answer.body().length());
                    return answer;
                }
            }
            wait(Math.max(1, Math.min(50, (until - System.nanoTime()) / 1_000_000)));
        }
    }

    private Http2.Answer transact(Map<String, Object> request, String body) {
        List<Object> when = Json2.list(request.get("when"));
        List<Object> apply = Json2.list(request.get("apply"));
        String invalid = null;
        if (apply.size() > txnOps || when.size() > 4 * txnOps) {
            invalid = "too many operations";
        } else if (body.getBytes(StandardCharsets.UTF_8).length > 64 * 1024) {
            invalid = "too large";
        }
        for (Object element : apply) {
            Map<String, Object> change = Json2.map(element);
            if (change.containsKey("set")) {
                int bytes = Json2.write(change.get("value")).getBytes(StandardCharsets.UTF_8).length;
                bytesWritten += bytes;
                if (bytes > valueBytes) {
                    invalid = "value of " + change.get("set") + " has " + bytes + " bytes";
                }
                long tenancy = Json2.integer(change.get("tenancy"));
                if (tenancy != 0 && !expiry.containsKey(tenancy)) {
                    return answer(400, "error", "no such lease");
                }
            }
        }
        if (invalid != null) {
            refusedBodies.merge(invalid, 1, Integer::sum);
            return answer(400, "error", invalid);
        }
        if (writeTokens < apply.size()) {
            return answer(429, "error", "too many changes");
        }
        writeTokens -= apply.size();
        List<Object> failed = new ArrayList<>();
        for (Object element : when) {
            Map<String, Object> condition = Json2.map(element);
            Row row = rows.get((String) condition.get("key"));
            if ((row == null ? 0 : row.entry) != Json2.integer(condition.get("entry"))) {
                failed.add(condition.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return answer(409, "failed", failed, "ledger", ledger);
        }
        if (!apply.isEmpty()) {
            ledger++;
        }
        for (Object element : apply) {
            Map<String, Object> change = Json2.map(element);
            if (change.containsKey("set")) {
                String key = (String) change.get("set");
                rows.put(key, new Row(change.get("value"), ledger, Json2.integer(change.get("tenancy"))));
                add(new Change(key, false, change.get("value"), ledger));
            } else {
                String key = (String) change.get("delete");
                if (rows.remove(key) != null) {
                    add(new Change(key, true, null, ledger));
                }
            }
        }
        notifyAll();
        return answer(200, "ledger", ledger);
    }

    synchronized Object value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value;
    }

    synchronized int count(String prefix) {
        return (int) rows.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }
}
