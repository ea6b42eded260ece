package dewlane.core.controller;

import dewlane.core.admission.Submissions;
import dewlane.core.admission.Users;
import dewlane.core.autoscaling.Autoscaler;
import dewlane.core.autoscaling.CapacityDemand;
import dewlane.core.autoscaling.CloudInventory;
import dewlane.core.autoscaling.ScaleDown;
import dewlane.core.config.Settings;
import dewlane.core.fleet.Machines;
import dewlane.core.job.Cancellations;
import dewlane.core.job.Dependencies;
import dewlane.core.job.Release;
import dewlane.core.membership.Membership;
import dewlane.core.membership.PeerTable;
import dewlane.core.membership.StandingMonitor;
import dewlane.core.message.Context;
import dewlane.core.message.Counters;
import dewlane.core.message.Effect;
import dewlane.core.message.Input;
import dewlane.core.model.PeerStatus;
import dewlane.core.quota.Quota;
import dewlane.core.quota.QuotaRebalancer;
import dewlane.core.scheduling.JobDistributor;
import dewlane.core.scheduling.JobWriter;
import dewlane.core.scheduling.LaunchPlanner;
import dewlane.core.scheduling.LeftoverCleaner;
import dewlane.core.scheduling.Placement;
import dewlane.core.schema.Partitions;
import dewlane.core.schema.Transaction;
import dewlane.core.schema.ValueSize;
import dewlane.core.store.Delta;
import dewlane.core.store.FinalReader;
import dewlane.core.store.JobEntry;
import dewlane.core.store.ReadBarrier;
import dewlane.core.store.Replica;
import dewlane.core.store.StateFollower;
import dewlane.core.store.TransactionQueue;
import dewlane.core.store.UnreadableLog;
import dewlane.core.worker.FailureDetector;
import dewlane.core.worker.WorkerSessions;
import java.util.List;

/**
 * The core of one controller: takes messages with the time of their arrival and gives back what is to be done. It reads
 * no clock and no socket, so the same messages at the same times always have the same effects.
 */
public final class Controller {
    /** Messages that come close together are answered by one pass; with no news there is one now and then. */
    private static final long PASS_MS = 80;

    private static final long QUIET_PASS_MS = 300;
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
    private final PeerTable peers;
    private final WorkerSessions sessions;
    private final Placement placement;
    private final Dependencies dependencies;
    private final FinalReader finals;
    private final Submissions submissions;
    private final FailureDetector failureDetector;
    private final Autoscaler autoscaler;
    private final Users users;
    private final ReadBarrier barrier;
    private final StateFollower state;
    private final QuotaRebalancer rebalancer;
    private final ScaleDown scaleDown;
    private final PeerBroadcast broadcast;
    private final UnreadableLog unreadableLog;
    private boolean dirty;
    private long passedAt = Long.MIN_VALUE / 2;
    private long slowAt = Long.MIN_VALUE / 2;

    public Controller(Settings settings, long seed, ValueSize size) {
        context = new Context(settings, seed);
        unreadableLog = new UnreadableLog(context, counters);
        cancellations = new Cancellations(context);
        transactions = new TransactionQueue(context, counters, size);
        peers = new PeerTable(context, replica);
        machines = new Machines(context, replica, peers);
        membership = new Membership(context, replica, peers, transactions, size);
        standing = new StandingMonitor(context, membership, cancellations);
        finals = new FinalReader(context, replica);
        dependencies = new Dependencies(context, replica, release, finals);
        Quota quota = new Quota(settings, replica, machines);
        JobDistributor distributor = new JobDistributor(context, replica, machines, quota, release);
        rebalancer = new QuotaRebalancer(context, replica, membership, standing, quota, distributor, release);
        placement = placement(quota, distributor, size);
        sessions = new WorkerSessions(
                context, replica, machines, peers, membership, placement, cancellations, standing, counters);
        failureDetector = new FailureDetector(context, replica, machines, membership, transactions, cancellations);
        scaleDown = new ScaleDown(context, replica, machines, membership, standing, transactions, placement, release);
        broadcast = new PeerBroadcast(context, replica, membership, cancellations, placement);
        CloudInventory inventory = new CloudInventory(context, replica, machines, transactions);
        CapacityDemand demand = new CapacityDemand(context, replica, machines, placement, quota, release);
        autoscaler = new Autoscaler(context, replica, machines, membership, inventory, demand);
        barrier = new ReadBarrier(context, replica);
        state = new StateFollower(context, replica, membership, cancellations, barrier, counters);
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

    private Placement placement(Quota quota, JobDistributor distributor, ValueSize size) {
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
        return new Placement(
                context, replica, machines, membership, release, quota, writer, planner, cleaner, counters);
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
        return state.loaded() && membership.joined() && !machines.types().isEmpty();
    }

    /**
     * True if users had better be sent here: not while this controller alone cannot reach the state service. In an
     * outage for all it stays true, since no other would serve better.
     */
    public boolean healthy() {
        return ready() && (membership.silence() < 2500 || !peers.anyReachesState());
    }

    private void take(Input input) {
        if (input instanceof Input.Tick) {
            tick();
        } else if (input instanceof Input.PeerHeard in) {
            heardPeer(in.status());
        } else {
            boolean taken = takeFromWorkers(input) || takeFromUsers(input) || takeFromState(input);
            if (!taken) {
                takeFromCloud(input);
            }
        }
    }

    private boolean takeFromWorkers(Input input) {
        if (input instanceof Input.ReportReceived in) {
            sessions.report(in.id(), in.report());
        } else if (input instanceof Input.CommandAnswered in) {
            sessions.answered(in);
        } else {
            return false;
        }
        dirty = true;
        return true;
    }

    private boolean takeFromUsers(Input input) {
        if (input instanceof Input.Submit in) {
            submissions.submit(in);
        } else if (input instanceof Input.Poll in) {
            users.poll(in);
        } else if (input instanceof Input.Abort in) {
            users.abort(in);
        } else {
            return false;
        }
        return true;
    }

    /** Takes what the state service answered; whatever shows that it did proves that it can be reached. */
    private boolean takeFromState(Input input) {
        if (input instanceof Input.Changes in) {
            dirty |= state.changed(in);
        } else if (input instanceof Input.TxnAnswer in) {
            noteContact(in.status() == Transaction.Status.COMMITTED || in.status() == Transaction.Status.CONFLICT);
            transactions.answered(in);
            dirty = true;
        } else if (input instanceof Input.ValueRead in) {
            noteContact(in.known());
            finals.answered(in);
            dirty = true;
        } else if (input instanceof Input.RevisionRead in) {
            noteContact(in.known());
            barrier.answered(in);
        } else if (input instanceof Input.LeaseGranted in) {
            noteContact(in.lease() != 0);
            membership.granted(in.lease());
        } else if (input instanceof Input.LeaseTouched in) {
            noteContact(in.renewed() || in.ended());
            membership.touched(in);
        } else if (input instanceof Input.StateListed in) {
            state.listed(in);
        } else if (input instanceof Input.ListFailed) {
            state.listFailed();
        } else if (input instanceof Input.WatchFailed in) {
            state.watchFailed(in);
        } else {
            return false;
        }
        return true;
    }

    private void noteContact(boolean answered) {
        if (answered) {
            membership.contact();
        }
    }

    private void takeFromCloud(Input input) {
        if (input instanceof Input.CatalogRead in) {
            machines.catalog(in.types());
            dirty = true;
        } else if (input instanceof Input.MachinesListed in) {
            autoscaler.listed(in);
        } else if (input instanceof Input.Rented in) {
            autoscaler.rented(in);
        } else if (input instanceof Input.Deleted in) {
            autoscaler.deleted(in);
        }
    }

    private void tick() {
        state.tick();
        membership.tick(state.caughtUp());
        transactions.pump();
        barrier.tick();
        dependencies.tick(state.caughtUp());
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

    private void heardPeer(PeerStatus status) {
        peers.take(status);
        machines.learnFrom(status);
        membership.peerEpoch(status.epoch());
        for (String job : status.cancelled()) {
            JobEntry entry = cancellations.heard(job) ? replica.job(job) : null;
            if (entry != null) {
                machines.touchAll(entry);
                dirty = true;
            }
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
            unreadableLog.note(d);
        }
    }
}
