package dewlane.io;

import dewlane.core.controller.Controller;
import dewlane.core.message.Effect;
import dewlane.wire.UserProtocol;
import dewlane.wire.WorkerProtocol;
import io.undertow.util.StatusCodes;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the effects of the core, each by the client or the pending request that it is for. */
final class EffectDispatcher {
    private static final Logger CORE_LOG = LoggerFactory.getLogger(Controller.class);

    private final Map<Class<? extends Effect>, Consumer<Effect>> handlers = new HashMap<>();

    EffectDispatcher(
            PendingRequests requests,
            StoreClient store,
            CloudClient cloud,
            WorkerCommandClient workers,
            PeerClient peers) {
        registerAnswers(requests);
        registerStore(store);
        registerCloud(cloud);
        on(Effect.SendCommands.class, workers::send);
        on(Effect.BroadcastStatus.class, peers::broadcast);
        on(Effect.Log.class, EffectDispatcher::log);
    }

    private void registerAnswers(PendingRequests requests) {
        on(Effect.AnswerUser.class, requests::answer);
        on(
                Effect.AnswerHeartbeat.class,
                e -> requests.answer(
                        e.id(), StatusCodes.OK, WorkerProtocol.heartbeatAnswer(e.fencingToken(), e.commands())));
        on(
                Effect.RedirectHeartbeat.class,
                e -> requests.answer(
                        e.id(), HttpExchanges.MISDIRECTED_REQUEST, WorkerProtocol.redirectAnswer(e.controller())));
        on(
                Effect.RejectHeartbeat.class,
                e -> requests.answer(
                        e.id(), StatusCodes.SERVICE_UNAVAILABLE, UserProtocol.error(HeartbeatEndpoint.NOT_ENTITLED)));
    }

    private void registerStore(StoreClient store) {
        on(Effect.CommitTransaction.class, e -> store.commit(e.id(), e.transaction()));
        on(Effect.Watch.class, e -> store.watch(e.afterRevision()));
        on(Effect.ReadValue.class, e -> store.read(e.id(), e.key()));
        on(Effect.ReadRevision.class, e -> store.readRevision());
        on(Effect.ListStore.class, e -> store.list());
        on(Effect.GrantLease.class, e -> store.grantLease(e.ttlMs()));
        on(Effect.RenewLease.class, e -> store.renewLease(e.lease()));
    }

    private void registerCloud(CloudClient cloud) {
        on(Effect.ListMachineTypes.class, e -> cloud.listMachineTypes());
        on(Effect.ListInstances.class, e -> cloud.listInstances());
        on(Effect.CreateInstances.class, cloud::createInstances);
        on(Effect.DeleteInstances.class, e -> cloud.deleteInstances(e.machines()));
    }

    private <E extends Effect> void on(Class<E> type, Consumer<E> handler) {
        handlers.put(type, effect -> handler.accept(type.cast(effect)));
    }

    /**
     * Carries out one effect.
     *
     * @throws IllegalArgumentException if no handler is registered for its type
     */
    void dispatch(Effect effect) {
        Consumer<Effect> handler = handlers.get(effect.getClass());
        if (handler == null) {
            throw new IllegalArgumentException("no handler for " + effect.getClass());
        }
        handler.accept(effect);
    }

    private static void log(Effect.Log line) {
        switch (line.level()) {
            case ERROR -> CORE_LOG.error(line.text());
            case INFO -> CORE_LOG.info(line.text());
            case DEBUG -> CORE_LOG.debug(line.text());
        }
    }
}
