package dewlane.core;

import dewlane.core.Replica.JobEntry;
import dewlane.core.Replica.SliceEntry;
import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What this controller knows of a machine. */
final class Machine {
    /** Names one launch of one task. */
    record Key(String job, int task, int number) { }

    /** An attempt that the state service holds against this machine. */
    record Live(JobEntry job, SliceEntry slice, Attempt attempt, Key key) {
        Live(JobEntry job, SliceEntry slice, Attempt attempt) {
            this(job, slice, attempt, new Key(job.id, attempt.task(), attempt.number()));
        }
    }

    final String name;
    /** When this controller first had to do with the machine under the present owner. */
    long since;
    String address;
    String type;
    String zone;
    boolean spot;
    long session;
    long sequence;
    long seal;
    long heardAt;
    /** The start of a peer that last said it hears the machine. */
    String listedBy;
    /** When the machine's worker first came here although another controller owns it. */
    long strayedAt;
    /** When the cloud takes the machine away; 0: not announced. */
    long takenAt;
    Map<Key, Report.TaskState> reported = Map.of();

    private long fenceEpoch;
    private int fence;
    /** A direct launch got no answer, so it may still arrive under the present fence. */
    boolean unsure;
    boolean commandInFlight;
    final Object2LongOpenHashMap<Key> commanded = new Object2LongOpenHashMap<>();
    /** Attempts to be stopped although their job goes on, and the grace they get. */
    final Map<Key, Double> stops = new HashMap<>();
    final Object2LongOpenHashMap<Key> unaccounted = new Object2LongOpenHashMap<>();

    /** Jobs of which a task failed here since a task last completed. */
    final Set<String> failedJobs = new HashSet<>();
    /** Images fetched here, most recently used last. */
    private final Object2DoubleLinkedOpenHashMap<String> images = new Object2DoubleLinkedOpenHashMap<>();

    final List<Live> live = new ArrayList<>();
    double usedCpus;
    double usedGpus;
    double usedMemory;
    long idleSince;

    Machine(String name, long now) {
        this.name = name;
        this.since = now;
        this.idleSince = now;
    }

    /** The token of the present owner: its epoch, then the machine's fence within that epoch. */
    long token(long epoch) {
        if (fenceEpoch != epoch) {
            fenceEpoch = epoch;
            fence = 0;
            unsure = false;
        }
        return (epoch << 20) | fence;
    }

    /** From the next answer on, no launch commanded so far can be executed. */
    void raiseFence(long epoch) {
        token(epoch);
        fence++;
        unsure = false;
    }

    boolean heardWithin(long now, long ms) {
        return heardAt != 0 && now - heardAt <= ms;
    }

    boolean fits(MachineType of, Job job) {
        return of.cpus() - usedCpus >= job.cpus() - 1e-9 && of.gpus() - usedGpus >= job.gpus() - 1e-9
                && of.memoryGb() - usedMemory >= job.memoryGb() - 1e-9;
    }

    void use(Job job) {
        usedCpus += job.cpus();
        usedGpus += job.gpus();
        usedMemory += job.memoryGb();
    }

    boolean hasImage(String image) {
        return images.containsKey(image);
    }

    void fetched(String image, double gb, double cacheGb) {
        images.putAndMoveToLast(image, gb);
        double sum = 0;
        for (double size : images.values()) {
            sum += size;
        }
        while (sum > cacheGb && images.size() > 1) {
            sum -= images.removeFirstDouble();
        }
    }

    /** A new session or owner: nothing remembered of commands holds any more. */
    void forgetCommands() {
        commanded.clear();
        stops.clear();
        unaccounted.clear();
    }
}
