package dewlane.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import dewlane.core.Attempt;
import dewlane.core.Input.Change;
import dewlane.core.Input.Row;
import dewlane.core.Job;
import dewlane.core.Keys;
import dewlane.core.Priority;
import dewlane.core.Transaction;
import dewlane.core.Value;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The state service's protocol, and the form in which values are kept there. */
public final class StateWire {
    public static final String TXN = "/txn";
    public static final String GRANTS = "/grants";

    private StateWire() {}

    /** A page of keys. */
    public record Page(List<Row> rows, boolean more, long revision) {}

    /** An answer of the watch. */
    public record Events(List<Change> changes, long revision) {}

    /** The path that reads one key. */
    public static String get(String key) {
        return "/store/" + key;
    }

    /** The path that lists keys with the prefix, beginning after the given one. */
    public static String list(String prefix, String after, int limit) {
        return "/store?prefix=" + prefix + "&since=" + after + "&limit=" + limit;
    }

    /** The path that waits for changes after the revision. */
    public static String watch(String prefix, long since, long waitMs) {
        return "/watch?prefix=" + prefix + "&since=" + since + "&blockMs=" + waitMs;
    }

    /** The path that renews a lease. */
    public static String touch(long lease) {
        return GRANTS + "/" + lease + "/touch";
    }

    /** The body that asks for a lease. */
    public static byte[] grant(long ttlMs) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeNumberField("ttlMs", ttlMs);
            out.writeEndObject();
        });
    }

    /** The lease that was granted. */
    public static long granted(byte[] body) throws IOException {
        return Json.whole(Json.object(body), "tenancy");
    }

    /** The revision that an answer names. */
    public static long revision(byte[] body) throws IOException {
        return Json.whole(Json.object(body), "ledger");
    }

    /** The value and version of a key that was read. */
    public static Row row(String key, byte[] body) throws IOException {
        return row(key, Json.object(body));
    }

    private static Row row(String key, Map<String, Object> in) throws IOException {
        return new Row(key, decode(key, Json.object(in.get("value"))), Json.whole(in, "entry"));
    }

    /** Reads one page of a listing. */
    public static Page page(byte[] body) throws IOException {
        Map<String, Object> in = Json.object(body);
        List<Row> rows = new ArrayList<>();
        for (Object o : Json.list(in, "rows")) {
            Map<String, Object> row = Json.object(o);
            rows.add(row(Json.string(row, "key"), row));
        }
        return new Page(rows, Json.flag(in, "more"), Json.whole(in, "ledger"));
    }

    /** Reads the changes that a watch returned. */
    public static Events events(byte[] body) throws IOException {
        Map<String, Object> in = Json.object(body);
        List<Change> changes = new ArrayList<>();
        for (Object o : Json.list(in, "log")) {
            Map<String, Object> e = Json.object(o);
            String set = Json.string(e, "set");
            changes.add(
                    set == null
                            ? new Change(Json.string(e, "delete"), null, Json.whole(e, "entry"))
                            : new Change(set, decode(set, Json.object(e.get("value"))), Json.whole(e, "entry")));
        }
        return new Events(changes, Json.whole(in, "ledger"));
    }

    /** The body of a conditional transaction. */
    public static byte[] txn(Transaction txn) {
        return Json.write(out -> {
            out.writeStartObject();
            out.writeArrayFieldStart("when");
            for (Transaction.Guard g : txn.when()) {
                out.writeStartObject();
                out.writeStringField("key", g.key());
                out.writeNumberField("entry", g.version());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("apply");
            for (Transaction.Write w : txn.apply()) {
                out.writeStartObject();
                if (w.value() == null) {
                    out.writeStringField("delete", w.key());
                } else {
                    out.writeStringField("set", w.key());
                    out.writeFieldName("value");
                    encode(out, w.value());
                    if (w.lease() != 0) {
                        out.writeNumberField("tenancy", w.lease());
                    }
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    /** A value as it is kept. */
    public static byte[] value(Value value) {
        return Json.write(out -> encode(out, value));
    }

    private static void encode(JsonGenerator out, Value value) throws IOException {
        out.writeStartObject();
        if (value instanceof Value.JobRecord v) {
            job(out, v.job());
            out.writeArrayFieldStart("deals");
            for (Value.Deal d : v.deals()) {
                out.writeString(d.owner());
                out.writeNumber(d.first());
                out.writeNumber(d.count());
            }
            out.writeEndArray();
            if (v.aborted()) {
                out.writeNumberField("aborted", v.abortedMs());
            }
        } else if (value instanceof Value.FinalRecord v) {
            out.writeBooleanField("aborted", v.aborted());
            out.writeNumberField("at", v.atMs());
        } else if (value instanceof Value.Slice v) {
            slice(out, v);
        } else if (value instanceof Value.ClusterMap v) {
            out.writeNumberField("epoch", v.epoch());
            out.writeObjectFieldStart("members");
            for (Value.Member m : v.members()) {
                out.writeNumberField(m.name(), m.incarnation());
            }
            out.writeEndObject();
            out.writeObjectFieldStart("moved");
            for (Map.Entry<String, String> e : v.moved().entrySet()) {
                out.writeStringField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            if (!v.loans().isEmpty()) {
                out.writeArrayFieldStart("loans");
                for (Value.Loan l : v.loans()) {
                    out.writeString(l.team());
                    out.writeString(l.node());
                    out.writeNumber(l.cpus());
                    out.writeNumber(l.gpus());
                }
                out.writeEndArray();
            }
        } else if (value instanceof Value.Presence v) {
            out.writeNumberField("incarnation", v.incarnation());
        } else if (value instanceof Value.TeamRecord v) {
            out.writeNumberField("cpus", v.cpus());
            out.writeNumberField("gpus", v.gpus());
        } else if (value instanceof Value.MachineRecord v) {
            out.writeStringField("fate", v.fate().name());
            out.writeStringField("reason", v.reason());
            if (!v.names().isEmpty()) {
                out.writeArrayFieldStart("names");
                for (String name : v.names()) {
                    out.writeString(name);
                }
                out.writeEndArray();
            }
        }
        out.writeEndObject();
    }

    private static void job(JsonGenerator out, Job j) throws IOException {
        out.writeStringField("id", j.id());
        out.writeStringField("lot", j.lot());
        out.writeStringField("team", j.team());
        out.writeStringField("priority", j.priority().name());
        out.writeNumberField("tasks", j.tasks());
        out.writeNumberField("cpus", j.cpus());
        out.writeNumberField("gpus", j.gpus());
        out.writeNumberField("memory", j.memoryGb());
        out.writeStringField("image", j.image());
        out.writeNumberField("imageGb", j.imageGb());
        out.writeArrayFieldStart("types");
        for (String t : j.types()) {
            out.writeString(t);
        }
        out.writeEndArray();
        if (j.zone() != null) {
            out.writeStringField("zone", j.zone());
        }
        out.writeBooleanField("oneZone", j.oneZone());
        out.writeBooleanField("spread", j.spread());
        out.writeBooleanField("spot", j.spot());
        out.writeNumberField("estimate", j.estimateS());
        out.writeNumberField("checkpoint", j.checkpointS());
        out.writeNumberField("save", j.saveS());
        out.writeNumberField("deadline", j.deadlineS());
        out.writeNumberField("accepted", j.acceptedMs());
    }

    /**
     * Attempts of one launch on one machine are one entry, and what a launch's entries share is written once: the value
     * is written anew at each change and read by every controller.
     */
    private static void slice(JsonGenerator out, Value.Slice s) throws IOException {
        out.writeStringField("owner", s.owner());
        out.writeNumberField("first", s.first());
        out.writeNumberField("count", s.count());
        out.writeNumberField("launches", s.launches());
        out.writeStringField("done", ranges(s.done()));
        Map<Launch, Map<Place, BitSet>> launches = new LinkedHashMap<>();
        for (Attempt a : s.attempts()) {
            launches.computeIfAbsent(new Launch(a.number(), a.launchedMs()), l -> new LinkedHashMap<>())
                    .computeIfAbsent(new Place(a.machine(), a.session(), a.token()), p -> new BitSet())
                    .set(a.task() - s.first());
        }
        out.writeArrayFieldStart("live");
        for (Map.Entry<Launch, Map<Place, BitSet>> launch : launches.entrySet()) {
            long token = launch.getValue().keySet().iterator().next().token();
            out.writeStartArray();
            out.writeNumber(launch.getKey().number());
            out.writeNumber(launch.getKey().atMs());
            out.writeNumber(token);
            for (Map.Entry<Place, BitSet> place : launch.getValue().entrySet()) {
                out.writeString(place.getKey().machine());
                out.writeNumber(place.getKey().session());
                out.writeNumber(place.getKey().token() - token);
                out.writeString(ranges(place.getValue()));
            }
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    /** What attempts of one launch share. */
    private record Launch(int number, long atMs) {}

    /** What attempts of one launch on one machine share. */
    private record Place(String machine, long session, long token) {}

    /** Done marks as ranges, such as 0-4,7: tasks are launched in order, so there are few. */
    static String ranges(BitSet set) {
        StringBuilder text = new StringBuilder();
        for (int from = set.nextSetBit(0); from >= 0; ) {
            int to = set.nextClearBit(from) - 1;
            text.append(text.length() == 0 ? "" : ",").append(from);
            if (to > from) {
                text.append('-').append(to);
            }
            from = set.nextSetBit(to + 1);
        }
        return text.toString();
    }

    static BitSet ranges(String text) {
        BitSet set = new BitSet();
        if (!text.isEmpty()) {
            for (String range : text.split(",")) {
                int dash = range.indexOf('-');
                int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
                set.set(from, 1 + (dash < 0 ? from : Integer.parseInt(range.substring(dash + 1))));
            }
        }
        return set;
    }

    static Value decode(String key, Map<String, Object> in) throws IOException {
        try {
            if (key.startsWith(Keys.SLICES)) {
                return slice(in);
            } else if (key.startsWith(Keys.JOBS)) {
                return new Value.JobRecord(job(in), deals(Json.list(in, "deals")), Json.whole(in, "aborted"));
            } else if (key.startsWith(Keys.FINALS)) {
                return new Value.FinalRecord(Json.flag(in, "aborted"), Json.whole(in, "at"));
            } else if (key.startsWith(Keys.MACHINES)) {
                return new Value.MachineRecord(
                        Value.MachineFate.valueOf(Json.string(in, "fate")),
                        Json.string(in, "reason"),
                        List.copyOf(Json.strings(in, "names")));
            } else if (key.startsWith(Keys.PRESENCE)) {
                return new Value.Presence(Json.whole(in, "incarnation"));
            } else if (key.startsWith(Keys.TEAMS)) {
                return new Value.TeamRecord(Json.number(in, "cpus"), Json.number(in, "gpus"));
            } else if (key.equals(Keys.MAP)) {
                List<Value.Member> members = new ArrayList<>();
                Json.object(in.get("members"))
                        .forEach((name, incarnation) ->
                                members.add(new Value.Member(name, ((Number) incarnation).longValue())));
                members.sort((a, b) -> a.name().compareTo(b.name()));
                Map<String, String> moved = new HashMap<>();
                Json.object(in.get("moved")).forEach((machine, taker) -> moved.put(machine, (String) taker));
                return new Value.ClusterMap(
                        Json.whole(in, "epoch"),
                        List.copyOf(members),
                        Map.copyOf(moved),
                        loans(Json.list(in, "loans")));
            }
        } catch (IllegalArgumentException | NullPointerException | ClassCastException e) {
            throw new IOException("unreadable value of " + key, e);
        }
        throw new IOException("unknown key " + key);
    }

    private static List<Value.Deal> deals(List<Object> in) {
        List<Value.Deal> deals = new ArrayList<>();
        for (int i = 0; i < in.size(); i += 3) {
            deals.add(new Value.Deal(
                    (String) in.get(i), ((Number) in.get(i + 1)).intValue(), ((Number) in.get(i + 2)).intValue()));
        }
        return List.copyOf(deals);
    }

    private static List<Value.Loan> loans(List<?> in) {
        List<Value.Loan> loans = new ArrayList<>();
        for (int i = 0; i < in.size(); i += 4) {
            loans.add(new Value.Loan(
                    (String) in.get(i),
                    (String) in.get(i + 1),
                    ((Number) in.get(i + 2)).doubleValue(),
                    ((Number) in.get(i + 3)).doubleValue()));
        }
        return List.copyOf(loans);
    }

    private static Job job(Map<String, Object> in) {
        return new Job(
                Json.string(in, "id"),
                Json.string(in, "lot"),
                Json.string(in, "team"),
                Priority.valueOf(Json.string(in, "priority")),
                (int) Json.whole(in, "tasks"),
                Json.number(in, "cpus"),
                Json.number(in, "gpus"),
                Json.number(in, "memory"),
                Json.string(in, "image"),
                Json.number(in, "imageGb"),
                List.copyOf(Json.strings(in, "types")),
                Json.string(in, "zone"),
                Json.flag(in, "oneZone"),
                Json.flag(in, "spread"),
                Json.flag(in, "spot"),
                Json.number(in, "estimate"),
                Json.number(in, "checkpoint"),
                Json.number(in, "save"),
                Json.number(in, "deadline"),
                Json.whole(in, "accepted"));
    }

    private static Value.Slice slice(Map<String, Object> in) {
        int first = (int) Json.whole(in, "first");
        List<Attempt> attempts = new ArrayList<>();
        for (Object o : Json.list(in, "live")) {
            List<?> launch = (List<?>) o;
            int number = ((Number) launch.get(0)).intValue();
            long at = ((Number) launch.get(1)).longValue();
            long token = ((Number) launch.get(2)).longValue();
            for (int i = 3; i < launch.size(); i += 4) {
                String machine = (String) launch.get(i);
                long session = ((Number) launch.get(i + 1)).longValue();
                long own = token + ((Number) launch.get(i + 2)).longValue();
                BitSet tasks = ranges((String) launch.get(i + 3));
                tasks.stream().forEach(t -> attempts.add(new Attempt(first + t, number, machine, session, own, at)));
            }
        }
        return new Value.Slice(
                Json.string(in, "owner"),
                first,
                (int) Json.whole(in, "count"),
                (int) Json.whole(in, "launches"),
                ranges(Json.string(in, "done")),
                List.copyOf(attempts));
    }
}
