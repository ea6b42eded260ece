package dewlane.core;

import dewlane.core.Replica.Delta;
import java.util.List;

/**
 * The core of one controller: takes messages with the time of their arrival and gives back what is to be done. It reads
 * no clock and no socket, so the same messages at the same times always have the same effects.
 */
public final class Controller {
    /** Messages that come close together are answered by one pass; with no news there is one now and then. */
    private static final long PASS_MS = 80;

    private static final long QUIET_PASS_MS = 300;
    /** Log lines about values that cannot be read: some at once, then one every ten seconds. */
    private static final double UNREADABLE_LINES_PER_S = 0.1;

    private static final double MOST_UNREADABLE_LINES = 10;
    private static final long SLOW_MS = 1000;

    private final Context context;
    private final Replica replica = new Replica(this::follow);
    private final Counters counters = new Counters();
    private final Release release = new Release();
    private final TransactionQueue transactions;
    private final Membership membership;
    private final Cancellations cancellations;
    private final StandingMonitor standing;
    private final Machines machines;
    private final WorkerSessions sessions;
    private final Placement placement;
    private final Dependencies dependencies;
    private final FinalReader finals;
    private final Submissions submissions;
    private final FailureDetector failureDetector;
    private final Autoscaler autoscaler;
    private final Users users;
    private final ReadBarrier barrier;
    private final QuotaRebalancer rebalancer;
    private final ScaleDown scaleDown;
    private final PeerBroadcast broadcast;
    private final RateLimit unreadableLog = new RateLimit(UNREADABLE_LINES_PER_S, MOST_UNREADABLE_LINES);
    private boolean listing;
    private long listedAt;
    /** When the watch under way, or the listing before it, was asked for: its answer shows all that was by then. */
    private long watchedAt;

    private boolean loaded;
    private long loadedFrom;
    private boolean dirty;
    private long passedAt = Long.MIN_VALUE / 2;
    private long slowAt = Long.MIN_VALUE / 2;

    public Controller(Settings settings, long seed, ValueSize size) {
        context = new Context(settings, seed);
        cancellations = new Cancellations(context);
        transactions = new TransactionQueue(context, counters, size);
        machines = new Machines(context, replica);
        membership = new Membership(context, replica, machines, transactions, size);
        standing = new StandingMonitor(context, membership, cancellations);
        finals = new FinalReader(context, replica);
        dependencies = new Dependencies(context, replica, release, finals);
        Quota quota = new Quota(settings, replica, machines);
        JobDistributor distributor = new JobDistributor(context, replica, machines, quota, release);
        rebalancer = new QuotaRebalancer(context, replica, membership, standing, quota, distributor, release);
        LaunchPlanner planner = new LaunchPlanner(context, replica, machines, quota, distributor, counters);
        JobWriter writer = new JobWriter(
                context,
                replica,
                machines,
                membership,
                transactions,
                dependencies,
                quota,
                planner,
                cancellations,
                counters,
                size);
        LeftoverCleaner cleaner = new LeftoverCleaner(context, replica, transactions);
        placement = new Placement(
                context, replica, machines, membership, release, quota, writer, planner, cleaner, counters);
        sessions = new WorkerSessions(
                context, replica, machines, membership, placement, cancellations, standing, counters);
        failureDetector = new FailureDetector(context, replica, machines, membership, transactions, cancellations);
        scaleDown = new ScaleDown(context, replica, machines, membership, standing, transactions, placement, release);
        broadcast = new PeerBroadcast(context, replica, membership, cancellations, placement);
        CloudInventory inventory = new CloudInventory(context, replica, machines, transactions);
        CapacityDemand demand = new CapacityDemand(context, replica, machines, placement, quota, release);
        autoscaler = new Autoscaler(context, replica, machines, membership, inventory, demand);
        barrier = new ReadBarrier(context, replica);
        users = new Users(context, replica, transactions, cancellations, dependencies, barrier, finals, size);
        submissions = new Submissions(
                context,
                replica,
                machines,
                membership,
                transactions,
                distributor,
                dependencies,
                barrier,
                finals,
                users,
                size);
    }

    /** Handles one message that arrived at the given steady time and time of day. */
    public List<Effect> handle(long nowMs, long wallMs, Input input) {
        context.at(nowMs, wallMs);
        take(input);
        if (dirty && nowMs - passedAt >= PASS_MS) {
            passedAt = nowMs;
            dirty = false;
            placement.pass();
            sessions.command();
        }
        return context.takeEffects();
    }

    /** Logs each order to a worker at debug, and what it rests on. */
    public void logOrders(boolean wanted) {
        context.logOrders(wanted);
    }

    /** What this controller has done since its start, for the log. */
    public String counts() {
        return counters.text();
    }

    /** How many machines are in this controller's part. */
    public int machines() {
        return machines.own().size();
    }

    /** How many jobs a pass looked at on average. */
    public double jobsPerPass() {
        return counters.passes == 0 ? 0 : (double) counters.jobsLookedAt / counters.passes;
    }

    /** True once this controller can decide about jobs. */
    public boolean ready() {
        return loaded && membership.joined() && !machines.types().isEmpty();
    }

    /**
     * True if users had better be sent here: not while this controller alone cannot reach the state service. In an
     * outage for all it stays true, since no other would serve better.
     */
    public boolean healthy() {
        return ready() && (membership.silence() < 2500 || !machines.peersReachState());
    }

    private void take(Input input) {
        if (input instanceof Input.Tick) {
            tick();
        } else if (input instanceof Input.ReportReceived in) {
            sessions.report(in.id(), in.report());
            dirty = true;
        } else if (input instanceof Input.CommandAnswered in) {
            sessions.answered(in);
            dirty = true;
        } else if (input instanceof Input.Changes in) {
            changes(in);
        } else if (input instanceof Input.TxnAnswer in) {
            if (in.status() == Transaction.Status.COMMITTED || in.status() == Transaction.Status.CONFLICT) {
                membership.contact();
            }
            transactions.answered(in);
            dirty = true;
        } else if (input instanceof Input.Submit in) {
            submissions.submit(in);
        } else if (input instanceof Input.Poll in) {
            users.poll(in);
        } else if (input instanceof Input.Abort in) {
            users.abort(in);
        } else if (input instanceof Input.ValueRead in) {
            if (in.known()) {
                membership.contact();
            }
            finals.answered(in);
            dirty = true;
        } else if (input instanceof Input.RevisionRead in) {
            if (in.known()) {
                membership.contact();
            }
            barrier.answered(in);
        } else if (input instanceof Input.LeaseGranted in) {
            if (in.lease() != 0) {
                membership.contact();
            }
            membership.granted(in.lease());
        } else if (input instanceof Input.LeaseTouched in) {
            if (in.renewed() || in.ended()) {
                membership.contact();
            }
            membership.touched(in);
        } else if (input instanceof Input.StateListed in) {
            loaded(in);
        } else if (input instanceof Input.ListFailed) {
            listing = false;
        } else if (input instanceof Input.WatchFailed in) {
            watchFailed(in);
        } else if (input instanceof Input.CatalogRead in) {
            machines.catalog(in.types());
            dirty = true;
        } else if (input instanceof Input.MachinesListed in) {
            autoscaler.listed(in);
        } else if (input instanceof Input.Rented in) {
            autoscaler.rented(in);
        } else if (input instanceof Input.Deleted in) {
            autoscaler.deleted(in);
        } else if (input instanceof Input.PeerHeard in) {
            heardPeer(in.status());
        }
    }

    private void tick() {
        if (!loaded && !listing && context.now() - listedAt > 500) {
            listing = true;
            listedAt = context.now();
            context.emit(new Effect.ListState());
        }
        membership.tick(caughtUp());
        transactions.pump();
        barrier.tick();
        dependencies.tick(caughtUp());
        dirty |= context.now() - passedAt >= QUIET_PASS_MS;
        broadcast.tick();
        if (context.now() - slowAt >= SLOW_MS) {
            slowAt = context.now();
            if (replica.map() != null) {
                transactions.shareAmong(replica.map().members().size());
            }
            standing.tick();
            failureDetector.tick();
            sessions.tick();
            autoscaler.tick();
            rebalancer.tick();
            scaleDown.tick();
            broadcast.slowTick();
        }
    }

    /** True if the replica holds all that was durable at some moment, with nothing of a later one in between. */
    private boolean caughtUp() {
        return loaded && replica.revision() >= loadedFrom;
    }

    private void loaded(Input.StateListed in) {
        membership.contact();
        listing = false;
        loaded = true;
        // Changes between the listing's first and last page are only complete once the watch has passed them.
        loadedFrom = in.latest();
        replica.load(in.rows(), in.revision());
        cancellations.viewed(listedAt);
        barrier.advanced();
        context.info("read " + replica.jobs().size() + " jobs from the state service at revision " + in.revision());
        watch(in.revision());
    }

    private void watch(long since) {
        watchedAt = context.now();
        context.emit(new Effect.Watch(since));
    }

    private void heardPeer(PeerStatus status) {
        machines.peer(status);
        membership.peerEpoch(status.epoch());
        for (String job : status.cancelled()) {
            JobEntry entry = cancellations.heard(job) ? replica.job(job) : null;
            if (entry != null) {
                machines.touchAll(entry);
                dirty = true;
            }
        }
    }

    private void changes(Input.Changes in) {
        if (!loaded) {
            return;
        }
        membership.contact();
        for (Input.Change change : in.changes()) {
            replica.apply(change);
        }
        counters.changesSeen += in.changes().size();
        logChanges(in);
        replica.advance(in.revision());
        barrier.advanced();
        cancellations.viewed(watchedAt);
        if (!in.changes().isEmpty()) {
            dirty = true;
        }
        watch(in.revision());
    }

    private void logChanges(Input.Changes in) {
        if (context.ordersLogged() && !in.changes().isEmpty()) {
            context.debug("the state is read up to revision " + in.revision() + ": "
                    + in.changes().size() + " changes, asked for " + (context.now() - watchedAt) + " ms ago");
        }
    }

    private void watchFailed(Input.WatchFailed in) {
        if (in.tooOld()) {
            context.info("the watch fell behind, reading the state anew");
            loaded = false;
        } else if (loaded) {
            watch(replica.revision());
        }
    }

    /** Each change of the replica goes to those that keep something which follows from it. */
    private void follow(Delta delta) {
        machines.follow(delta);
        cancellations.follow(delta);
        dependencies.follow(delta);
        if (delta instanceof Delta.SliceChanged d && d.after() != null) {
            counters.attemptsSeen += d.after().attempts().size();
        } else if (delta instanceof Delta.MapChanged d) {
            context.info("map " + d.after().epoch() + ": " + d.after().members() + ", led by "
                    + Partitions.leader(d.after()));
        } else if (delta instanceof Delta.Unread d) {
            noteUnreadable(d);
        }
    }

    /** Says which key cannot be read; of many, only some a minute. */
    private void noteUnreadable(Delta.Unread unread) {
        counters.unreadable++;
        if (unreadableLog.take(context.now())) {
            context.info(
                    "the value of " + unread.key() + " cannot be read, what depends on it is held: " + unread.reason());
        }
    }
}
