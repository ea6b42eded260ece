package dewlane.io;

import dewlane.core.controller.Controller;
import dewlane.core.message.Effect;
import dewlane.core.message.HandlerTable;
import dewlane.wire.UserProtocol;
import dewlane.wire.WorkerProtocol;
import io.undertow.util.StatusCodes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the effects of the core: passes each to the client or the pending request that it is for. */
final class EffectDispatcher {
    private static final Logger CORE_LOG = LoggerFactory.getLogger(Controller.class);

    private final HandlerTable<Effect> handlers = new HandlerTable<>(Effect.class);

    EffectDispatcher(
            PendingRequests requests,
            StoreClient store,
            CloudClient cloud,
            WorkerCommandClient workers,
            PeerClient peers) {
        registerAnswers(requests);
        registerStore(store);
        registerCloud(cloud);
        handlers.on(Effect.SendCommands.class, workers::send);
        handlers.on(Effect.BroadcastStatus.class, peers::broadcast);
        handlers.on(Effect.Log.class, EffectDispatcher::log);
        handlers.requireComplete();
    }

    private void registerAnswers(PendingRequests requests) {
        handlers.on(Effect.AnswerUser.class, requests::answer);
        handlers.on(
                Effect.AnswerHeartbeat.class,
                e -> requests.answer(
                        e.id(), StatusCodes.OK, WorkerProtocol.heartbeatAnswer(e.fencingToken(), e.commands())));
        handlers.on(
                Effect.RedirectHeartbeat.class,
                e -> requests.answer(
                        e.id(), HttpExchanges.MISDIRECTED_REQUEST, WorkerProtocol.redirectAnswer(e.controller())));
        handlers.on(
                Effect.RejectHeartbeat.class,
                e -> requests.answer(
                        e.id(), StatusCodes.SERVICE_UNAVAILABLE, UserProtocol.error(HeartbeatEndpoint.NOT_ENTITLED)));
    }

    private void registerStore(StoreClient store) {
        handlers.on(Effect.CommitTransaction.class, e -> store.commit(e.id(), e.transaction()));
        handlers.on(Effect.Watch.class, e -> store.watch(e.id(), e.afterRevision()));
        handlers.on(Effect.ReadValue.class, e -> store.read(e.id(), e.key()));
        handlers.on(Effect.ReadRevision.class, e -> store.readRevision());
        handlers.on(Effect.ListStore.class, e -> store.list());
        handlers.on(Effect.GrantLease.class, e -> store.grantLease(e.ttlMs()));
        handlers.on(Effect.RenewLease.class, e -> store.renewLease(e.lease()));
    }

    private void registerCloud(CloudClient cloud) {
        handlers.on(Effect.ListMachineTypes.class, e -> cloud.listMachineTypes());
        handlers.on(Effect.ListInstances.class, e -> cloud.listInstances());
        handlers.on(Effect.CreateInstances.class, cloud::createInstances);
        handlers.on(Effect.DeleteInstances.class, e -> cloud.deleteInstances(e.machines()));
    }

    /** Carries out one effect. */
    void dispatch(Effect effect) {
        handlers.dispatch(effect);
    }

    private static void log(Effect.Log line) {
        switch (line.level()) {
            case ERROR -> CORE_LOG.error(line.text());
            case INFO -> CORE_LOG.info(line.text());
            case DEBUG -> CORE_LOG.debug(line.text());
        }
    }
}
