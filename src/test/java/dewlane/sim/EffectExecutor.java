package dewlane.sim;

import dewlane.core.message.Effect;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Executes the effects of a controller on the simulated cluster, and passes replies to the callbacks of users and
 * workers.
 */
final class EffectExecutor {
    private final SimController controller;
    private final SimCluster cluster;
    private final Map<Long, Consumer<Effect.AnswerUser>> userReplies = new HashMap<>();
    private final Map<Long, Consumer<HeartbeatReply>> heartbeatReplies = new HashMap<>();

    EffectExecutor(SimController controller) {
        this.controller = controller;
        this.cluster = controller.cluster;
    }

    /** Drops all callbacks that wait for a reply, as when the process ends. */
    void reset() {
        userReplies.clear();
        heartbeatReplies.clear();
    }

    void expectUserReply(long id, Consumer<Effect.AnswerUser> onReply) {
        userReplies.put(id, onReply);
    }

    void expectHeartbeatReply(long id, Consumer<HeartbeatReply> onReply) {
        heartbeatReplies.put(id, onReply);
    }

    void execute(Effect effect) {
        boolean executed =
                executeReply(effect) || executeOnStore(effect) || executeOnCloud(effect) || executeOnOthers(effect);
        if (!executed) {
            throw new AssertionError("effect not supported by the simulation: " + effect);
        }
    }

    private boolean executeReply(Effect effect) {
        if (effect instanceof Effect.AnswerUser answer) {
            reply(userReplies.remove(answer.id()), answer);
        } else if (effect instanceof Effect.AnswerHeartbeat answer) {
            replyToHeartbeat(answer.id(), HeartbeatReply.accepted(answer.fencingToken(), answer.commands()));
        } else if (effect instanceof Effect.RedirectHeartbeat redirect) {
            replyToHeartbeat(redirect.id(), HeartbeatReply.redirect(redirect.controller()));
        } else if (effect instanceof Effect.RejectHeartbeat refusal) {
            replyToHeartbeat(refusal.id(), HeartbeatReply.refusal());
        } else {
            return false;
        }
        return true;
    }

    private void replyToHeartbeat(long id, HeartbeatReply heartbeatReply) {
        reply(heartbeatReplies.remove(id), heartbeatReply);
    }

    private static <T> void reply(Consumer<T> onReply, T reply) {
        if (onReply != null) {
            onReply.accept(reply);
        }
    }

    private boolean executeOnStore(Effect effect) {
        SimStore store = cluster.store;
        if (effect instanceof Effect.CommitTransaction commit) {
            store.commit(
                    controller,
                    commit.id(),
                    controller.runsVersion01 ? Version01Schema.write(commit.transaction()) : commit.transaction());
        } else if (effect instanceof Effect.Watch watch) {
            store.watch(controller, watch);
        } else if (effect instanceof Effect.ReadValue read) {
            store.read(controller, read.id(), read.key());
        } else if (effect instanceof Effect.ReadRevision) {
            store.readRevision(controller);
        } else if (effect instanceof Effect.ListStore) {
            store.list(controller);
        } else if (effect instanceof Effect.GrantLease grant) {
            store.grantLease(controller, grant.ttlMs());
        } else if (effect instanceof Effect.RenewLease renewal) {
            store.renewLease(
                    controller, renewal.lease(), cluster.settings.tuning().memberLeaseTtlMs());
        } else {
            return false;
        }
        return true;
    }

    private boolean executeOnCloud(Effect effect) {
        SimCloud cloud = cluster.cloud;
        if (effect instanceof Effect.ListMachineTypes) {
            cloud.listMachineTypes(controller);
        } else if (effect instanceof Effect.ListInstances) {
            cloud.listInstances(controller);
        } else if (effect instanceof Effect.CreateInstances create) {
            cloud.createInstances(controller, create);
        } else if (effect instanceof Effect.DeleteInstances delete) {
            cloud.deleteInstances(controller, delete.machines());
        } else {
            return false;
        }
        return true;
    }

    private boolean executeOnOthers(Effect effect) {
        if (effect instanceof Effect.SendCommands command) {
            cluster.commands.send(controller, command);
        } else if (effect instanceof Effect.BroadcastStatus broadcast) {
            controller.broadcast(broadcast.pages());
        } else if (effect instanceof Effect.Log log) {
            cluster.trace(controller.name + " " + log.text());
        } else {
            return false;
        }
        return true;
    }
}
