package dewlane;

import dewlane.core.message.Input;
import dewlane.core.model.Attempt;
import dewlane.core.model.Job;
import dewlane.core.model.JobBuilder;
import dewlane.core.schema.StoreKeys;
import dewlane.core.schema.StoredValue;
import dewlane.core.schema.StoredValue.JobRecord;
import dewlane.core.schema.StoredValue.Slice;
import dewlane.core.schema.StoredValue.SliceAssignment;
import dewlane.wire.StoreProtocol;
import dewlane.wire.StoredValueCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.StringJoiner;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Jobs as the store holds them, read in pages of a listing. */
final class StoredJobs {
    private static final int FIRST_NUMBER = 100_000;
    private static final int MACHINES = 100;
    private static final List<String> TEAMS = List.of("kurabito", "toji");

    /**
     * How many jobs there are, and what they are like.
     *
     * @param first how many jobs have no dependencies
     * @param firstEnded true if these have ended, so that the store holds only their results
     * @param last how many jobs depend on some of the first ones, or have no dependencies either
     * @param dependencies on how many jobs each of these depends
     * @param attempts how many tasks of each of them are on machines
     */
    record Shape(int first, boolean firstEnded, int last, int dependencies, int attempts) {
        String[] toArguments() {
            return Stream.of(first, firstEnded, last, dependencies, attempts)
                    .map(String::valueOf)
                    .toArray(String[]::new);
        }

        static Shape fromArguments(String[] arguments) {
            return new Shape(
                    Integer.parseInt(arguments[0]),
                    Boolean.parseBoolean(arguments[1]),
                    Integer.parseInt(arguments[2]),
                    Integer.parseInt(arguments[3]),
                    Integer.parseInt(arguments[4]));
        }
    }

    private final Shape shape;

    StoredJobs(Shape shape) {
        this.shape = shape;
    }

    /** Returns the number of the first stored job. */
    int begin() {
        return shape.firstEnded() ? shape.first() : 0;
    }

    /** Returns the number after that of the last stored job. */
    int end() {
        return shape.first() + shape.last();
    }

    /** Returns the rows of the jobs with the given numbers, as they are parsed from a page of a listing. */
    List<Input.StoreRow> rows(int from, int to) throws IOException {
        StringJoiner rows = new StringJoiner(",", "{\"rows\":[", "],\"more\":false,\"ledger\":1}");
        IntStream.range(from, to).forEach(number -> addRows(number, rows));
        return StoreProtocol.parsePage(rows.toString().getBytes(StandardCharsets.UTF_8))
                .rows();
    }

    private void addRows(int number, StringJoiner rows) {
        boolean isFirst = number < shape.first();
        Job job = isFirst ? job(number) : job(number).withDependencies(dependenciesOf(number));
        JobRecord record = new JobRecord(job, List.of(new SliceAssignment("n0", 0, job.tasks())), 0);
        rows.add(row(StoreKeys.job(job.id()), record));
        if (!isFirst && shape.attempts() > 0) {
            rows.add(row(StoreKeys.slice(job.id(), 0), slice(number, job.tasks())));
        }
    }

    private Job job(int number) {
        return JobBuilder.job(id(number))
                .team(TEAMS.get(number % TEAMS.size()))
                .tasks(1 + shape.attempts())
                .build();
    }

    private List<String> dependenciesOf(int number) {
        int offset = (number - shape.first()) * shape.dependencies();
        return IntStream.range(0, shape.dependencies())
                .mapToObj(i -> id((offset + i) % shape.first()))
                .toList();
    }

    private Slice slice(int number, int tasks) {
        List<Attempt> attempts = IntStream.range(0, shape.attempts())
                .mapToObj(task -> new Attempt(task, 1, "vm-" + (number + task) % MACHINES, 1, 1, 1))
                .toList();
        return new Slice("n0", 0, tasks, 1, new BitSet(), attempts);
    }

    private static String row(String key, StoredValue value) {
        String json = new String(StoredValueCodec.encode(value), StandardCharsets.UTF_8);
        return "{\"key\":\"" + key + "\",\"value\":" + json + ",\"entry\":1}";
    }

    private static String id(int number) {
        return "wk-" + (FIRST_NUMBER + number);
    }
}
