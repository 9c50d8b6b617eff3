package org.verbenamast.core.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.verbenamast.core.backend.BackendStateController;
import org.verbenamast.core.backend.NoticeHandler;
import org.verbenamast.core.backend.NoticeRejection;
import org.verbenamast.core.backend.ServerNotice;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.keys.KeyController;
import org.verbenamast.core.keys.KeyGrant;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.ServerIncarnation;

/** Passes the notices of the server beside a node to the node's controllers. */
final class ServerNotices implements NoticeHandler {

    private final RelaySettings settings;
    private final BackendStateController backend;
    private final CrashReportController crashReports;
    private final KeyController keys;
    private final OwnRows ownRows;
    private final BooleanSupplier keyed;

    ServerNotices(
            RelaySettings settings,
            BackendStateController backend,
            CrashReportController crashReports,
            KeyController keys,
            OwnRows ownRows,
            BooleanSupplier keyed) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.backend = Objects.requireNonNull(backend, "backend");
        this.crashReports = Objects.requireNonNull(crashReports, "crashReports");
        this.keys = Objects.requireNonNull(keys, "keys");
        this.ownRows = Objects.requireNonNull(ownRows, "ownRows");
        this.keyed = Objects.requireNonNull(keyed, "keyed");
    }

    @Override
    public boolean isReady() {
        return backend.isRestored();
    }

    @Override
    public Optional<NoticeRejection> handle(ServerNotice notice, long now, Effects effects) {
        return notice.heartbeat()
                .map(heartbeat -> onHeartbeat(heartbeat, now, effects))
                .orElseGet(() -> backend.onServerLeaving(notice.id(), now));
    }

    private Optional<NoticeRejection> onHeartbeat(Heartbeat heartbeat, long now, Effects effects) {
        if (!settings.isOfServerHere(heartbeat)) {
            return Optional.of(NoticeRejection.OTHER_SERVER);
        }
        if (heartbeat.keys().isEmpty() && (keyed.getAsBoolean() || keys.hasOwners())) {
            return Optional.of(NoticeRejection.NO_KEY_REPORT);
        }
        Optional<ServerIncarnation> before = backend.incarnation();
        // Keys released before they were granted again must not be passed on, so the server is to report them again.
        boolean reportsKeysInUnknownOrder =
                backend.isOrderUnknown(heartbeat) && !heartbeat.freed().isEmpty();
        Optional<NoticeRejection> rejection = backend.onHeartbeat(heartbeat, now);
        if (rejection.isPresent()) {
            return rejection;
        }
        before.filter(former -> !former.equals(heartbeat.incarnation()))
                .ifPresent(former -> keys.onServerEnded(former, now, effects));
        crashReports.onHeartbeat(heartbeat.incarnation(), now);
        return reportsKeysInUnknownOrder ? Optional.of(NoticeRejection.ORDER_UNKNOWN) : Optional.empty();
    }

    @Override
    public boolean isLeaveRecorded(String id) {
        return ownRows.isLeaveRecorded(id);
    }

    @Override
    public Optional<KeyGrant> grant(Heartbeat heartbeat, long now, Effects effects) {
        return keyed.getAsBoolean() ? keys.onHeartbeat(heartbeat, now, effects) : Optional.empty();
    }
}
