package dewlane.core.fleet;

import dewlane.core.model.AttemptId;
import dewlane.core.model.Heartbeat;
import dewlane.core.model.Job;
import dewlane.core.model.MachineType;
import dewlane.core.model.ResourceUsage;
import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** What this controller knows of a machine. */
public final class Machine {
    public final String name;
    /** The controller whose part the machine belongs to under the present map. */
    public String owner;
    /** Since when that is so. */
    public long ownerSince;

    public String address;
    public String typeName;
    public String zone;
    public boolean spot;
    /** What the catalog says of the type; null until it is looked up. */
    MachineType resolvedType;

    public long incarnation;
    public long sequence;
    /** The highest token that the worker has shown. */
    public long highestTokenSeen;
    /** Whether it hears this controller. */
    public final Reachability reachability;
    /** What was sent to the worker, and with which token. */
    public final CommandChannel commandChannel = new CommandChannel();
    /** The start of a peer that last said it hears the machine, and when. */
    String listedByIncarnation;

    long listedAt;
    public final MisroutedHeartbeats misroutedHeartbeats = new MisroutedHeartbeats();
    /** It was to be returned when it was last heard of: if it is silent, it is gone as it should be. */
    public boolean scaleInExpected;
    /** It is being returned, though no record shows that yet. */
    public boolean scalingIn;
    /** When the cloud takes the machine away; 0: not announced. */
    public long terminationAtMs;

    public Map<AttemptId, Heartbeat.TaskStatus> reportedTasks = Map.of();

    public final Object2LongOpenHashMap<AttemptId> commandedAt = new Object2LongOpenHashMap<>();
    /** Attempts to be stopped although their job goes on, and the grace they get. */
    public final Map<AttemptId, Double> preemptions = new HashMap<>();

    public final Object2LongOpenHashMap<AttemptId> unaccountedSince = new Object2LongOpenHashMap<>();

    /** Jobs of which a task failed here since a task last completed. */
    public final Set<String> failedJobs = new HashSet<>();
    /** Images fetched here, most recently used last. */
    private final Object2DoubleLinkedOpenHashMap<String> images = new Object2DoubleLinkedOpenHashMap<>();

    private double imageGb;

    public final Map<AttemptId, AssignedAttempt> attempts = new LinkedHashMap<>();
    /** What the attempts take that may be on the machine, those in a write under way included. */
    public final ResourceUsage usage = new ResourceUsage();
    /** Room that this pass keeps for jobs that others were stopped for; null: none. */
    public ResourceUsage reserved;

    public long idleSince;

    Machine(String name, long now) {
        this.name = name;
        this.reachability = new Reachability(now);
        this.idleSince = now;
    }

    /**
     * Begins anew under this controller. Tokens are above those of any owner before, and stay so while the machine does
     * not change hands: a map that changes elsewhere fences off no launch of this part.
     */
    void acquire(long epoch, long now) {
        commandChannel.acquire(epoch);
        reachability.acquired(now, fencingToken());
        terminationAtMs = 0;
        reportedTasks = Map.of();
        forgetCommands();
    }

    /** Takes what a report or a list says of the machine, which never changes but for a wrong list. */
    public void describe(String ofType, String inZone, boolean onSpot) {
        if (!ofType.equals(typeName)) {
            typeName = ofType;
            resolvedType = null;
        }
        zone = inZone;
        spot = onSpot;
    }

    /** How many tasks of the job the machine has room for, less what is kept for others. */
    public int capacityFor(MachineType of, Job job) {
        return reserved == null
                ? usage.capacityFor(of, job)
                : new ResourceUsage(usage).add(reserved).capacityFor(of, job);
    }

    /** Reserves room for one task of the job until the next scheduling cycle. */
    public void reserve(Job job) {
        reserved = reserved == null ? new ResourceUsage() : reserved;
        reserved.add(job);
    }

    /** The token that commands to the machine carry. */
    public long fencingToken() {
        return commandChannel.fencingToken();
    }

    /**
     * Being heard is not being reachable: from now on only an answer to a command, or a report with a token that was
     * handed out after this moment, shows that the machine hears this controller. A late copy has neither.
     */
    public void suspect(long now) {
        boolean launchUnderWay = false;
        for (AssignedAttempt assigned : attempts.values()) {
            launchUnderWay |= assigned.attempt.fencingToken() == fencingToken()
                    && assigned.attempt.incarnation() == incarnation
                    && !reportedTasks.containsKey(assigned.id);
        }
        if (launchUnderWay) {
            reachability.suspected(now, Reachability.NO_TOKEN_ENDS_IT);
        } else {
            commandChannel.raiseFence();
            reachability.suspected(now, fencingToken());
        }
    }

    /** Nothing may be on it any more: it is idle from now on. */
    void markIdleIfEmpty(long now) {
        if (attempts.isEmpty() && usage.isEmpty()) {
            idleSince = now;
        }
    }

    /** True if the image is in the machine's cache, as far as is known. */
    public boolean hasImage(String image) {
        return images.containsKey(image);
    }

    /** The machine holds an image, the least recently used ones leave a full cache. */
    public void imageFetched(String image, double gb, double cacheGb) {
        if (!images.containsKey(image)) {
            imageGb += gb;
        }
        images.putAndMoveToLast(image, gb);
        while (imageGb > cacheGb && images.size() > 1) {
            imageGb -= images.removeFirstDouble();
        }
    }

    /** A new session or owner: nothing remembered of commands holds any more. */
    public void forgetCommands() {
        commandedAt.clear();
        preemptions.clear();
        unaccountedSince.clear();
    }
}
