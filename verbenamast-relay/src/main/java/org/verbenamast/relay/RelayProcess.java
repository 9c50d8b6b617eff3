package org.verbenamast.relay;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.activej.eventloop.Eventloop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.admission.AdmissionEffect;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.relay.RelaySettings;
import org.verbenamast.core.rows.BroadcastRows;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.FollowEffect;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.relay.backend.BackendPool;
import org.verbenamast.relay.caller.CallerServer;
import org.verbenamast.relay.peer.GateServer;
import org.verbenamast.relay.peer.PeerNotifier;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.settings.RelayNodeSettings;
import org.verbenamast.relay.settings.SettingsWatch;
import org.verbenamast.relay.store.StoreClient;
import org.verbenamast.relay.store.StoreObserver;
import org.verbenamast.relay.telemetry.BeliefLog;
import org.verbenamast.relay.telemetry.LogQueue;
import org.verbenamast.relay.telemetry.MetricsPage;
import org.verbenamast.relay.telemetry.RequestCounts;
import sun.misc.Signal;

/** A node that runs: its parts, put together on one event loop. */
public final class RelayProcess implements StoreObserver, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(RelayProcess.class);

    /** Time between looks at the clocks and at idle connections, in milliseconds. */
    private static final long HOUSEKEEPING_MILLIS = 100;
    /** Time between looks at the settings file, in milliseconds; changes are to be in force within 3 s. */
    private static final long LOOK_MILLIS = 1_000;
    /** Difference between the clocks that may be a suspension of the host, in milliseconds. */
    private static final long SUSPENSION_MILLIS = 200;
    /** Time before the end of the grace period at which the process ends in any case, in milliseconds. */
    private static final long END_MARGIN_MILLIS = 600;
    /** Time for which a stopping node still takes requests, in milliseconds; callers learn of it within two seconds. */
    private static final long STILL_TAKING_MILLIS = 2_600;

    private final SettingsWatch watch;
    private RelayNodeSettings settings;
    private final Eventloop eventloop;
    private final RelayCore core;
    private final RelayLoop loop;
    private final StoreClient store;
    private final PeerPool peers;
    private final BackendPool backend;
    private final CallerServer callers;
    private final GateServer gate;
    private final PlatformFront front;
    private final RequestCounts counts = new RequestCounts();
    private final PeerNotifier news;
    private final ClockWatch clocks = new ClockWatch(SUSPENSION_MILLIS);
    private long stoppingSince;
    private long nextLook;
    private long toldDropped;

    /**
     * Puts a node together.
     *
     * @param settings the settings
     * @param watch tells when they change
     */
    public RelayProcess(RelayNodeSettings settings, SettingsWatch watch) {
        this.watch = Objects.requireNonNull(watch, "watch");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.eventloop = Eventloop.builder()
                .withCurrentThread()
                .withTimeProvider(() -> System.nanoTime() / Timing.NANOS_PER_MILLI)
                .withFatalErrorHandler((e, context) -> LOG.error("a fault in this program; the node goes on", e))
                .build();
        this.core = new RelayCore(coreSettings(settings), BeliefLog::transition);
        this.loop = new RelayLoop(eventloop, core, this::run);
        this.store = new StoreClient(eventloop, settings.store(), this);
        this.peers = new PeerPool(eventloop);
        this.backend = new BackendPool(eventloop, settings.server());
        this.callers = new CallerServer(eventloop, settings.callers(), settings.service(), core, loop, peers, counts);
        this.gate = new GateServer(eventloop, settings.peers(), core, loop, backend, counts);
        this.front = new PlatformFront(
                eventloop, settings, core, loop, new MetricsPage(core, counts), () -> stoppingSince == 0);
        this.news = new PeerNotifier(peers);
    }

    private static RelaySettings coreSettings(RelayNodeSettings settings) {
        return new RelaySettings(
                settings.node(),
                new SecureRandom().nextLong(1, Long.MAX_VALUE),
                settings.zone(),
                settings.service(),
                settings.peers(),
                KeyLeaseTimings.DEFAULT,
                settings.drainMillis(),
                RelayLoop.now(),
                () -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Runs until the process is told to stop.
     *
     * @throws IOException where an address can't be used
     */
    public void run() throws IOException {
        callers.listen();
        gate.listen();
        front.listen();
        Signal.handle(new Signal("TERM"), signal -> eventloop.execute(this::stop));
        Signal.handle(
                new Signal("HUP"),
                signal -> eventloop.execute(() -> watch.read().ifPresent(this::changed)));
        LOG.info("node {} of {} started, callers at {}", settings.node(), settings.zone(), settings.callers());
        eventloop.keepAlive(true);
        changed(settings);
        eventloop.post(() -> loop.run(core::start));
        housekeep();
        eventloop.run();
    }

    private void housekeep() {
        eventloop.delayBackground(HOUSEKEEPING_MILLIS, () -> {
            if (clocks.suspended()) {
                LOG.warn("the host may have been suspended; leases are confirmed anew");
                loop.run(core::suspended);
            }
            callers.closeIdle();
            tellDropped();
            lookAtSettings();
            if (stoppingSince != 0 && stoppingMillis() >= STILL_TAKING_MILLIS) {
                callers.refuseNew();
                loop.run(core.gate()::shut);
            }
            if (stoppingSince != 0 && mayEnd()) {
                LOG.info("node {} stopped", settings.node());
                eventloop.breakEventloop();
                return;
            }
            housekeep();
        });
    }

    /** Says in the log how many of its lines were dropped; the line itself finds room, or is tried again. */
    private void tellDropped() {
        long dropped = LogQueue.droppedLines();
        if (dropped > toldDropped) {
            LOG.warn("{} log lines dropped since the start: the writer is too slow", dropped);
            toldDropped = dropped;
        }
    }

    private void lookAtSettings() {
        if (RelayLoop.now() >= nextLook) {
            nextLook = RelayLoop.now() + Timing.nanos(LOOK_MILLIS);
            watch.look().ifPresent(this::changed);
        }
    }

    private void changed(RelayNodeSettings next) {
        settings = next;
        loop.run((now, effects) -> core.times(next.drainMillis(), next.longestHoldMillis(), now, effects));
    }

    private void stop() {
        if (stoppingSince == 0) {
            LOG.info("node {} is stopping", settings.node());
            stoppingSince = RelayLoop.now();
            callers.stop();
            loop.run((now, effects) -> core.gate().stop(now, effects));
        }
    }

    private long stoppingMillis() {
        return (RelayLoop.now() - stoppingSince) / Timing.NANOS_PER_MILLI;
    }

    private boolean mayEnd() {
        long since = stoppingMillis();
        long last = settings.graceSeconds() * 1_000 - END_MARGIN_MILLIS;
        boolean idle = callers.idle() && core.gate().idle();
        return since >= last || since >= STILL_TAKING_MILLIS && idle;
    }

    private void run(Effect effect) {
        if (effect instanceof EntryEffect entry) {
            callers.run(entry);
        } else if (effect instanceof AdmissionEffect gated) {
            gate.run(gated);
        } else if (effect instanceof StoreEffect stored) {
            store.run(stored);
        } else if (effect instanceof FollowEffect follow) {
            store.run(follow);
        } else if (effect instanceof KeyEffect.TellHeat tell) {
            news.send(tell);
        } else if (effect instanceof KeyEffect.Granted granted) {
            BeliefLog.granted(granted);
        } else if (effect instanceof KeyEffect.Withdrawn withdrawn) {
            BeliefLog.withdrawn(withdrawn);
        } else if (effect instanceof BroadcastRows spread) {
            news.send(spread, core.roster().members(), settings.peers());
        } else {
            throw new IllegalStateException("no part carries out " + effect);
        }
    }

    @Override
    public void onStoreResult(StorePurpose purpose, long ticket, StoreResult result) {
        counts.storeCalled(purpose.name(), result.getClass().getSimpleName());
        if (result instanceof StoreResult.Failed failed) {
            LOG.info("store call for {} failed: {}", purpose, failed.failure());
        }
        loop.run((now, effects) -> core.stored(purpose, ticket, result, now, effects));
    }

    @Override
    public void onFollowResult(FollowedTable table, long ticket, FollowEvent event, FollowInput input) {
        loop.run((now, effects) -> core.follow().ended(table, ticket, event, input, now, effects));
    }

    @Override
    public void onChangedRows(List<StoredRow> rows) {
        loop.run((now, effects) -> core.rows(rows, now, effects));
    }

    @Override
    public void onAllRows(List<StoredRow> rows, long version) {
        loop.run((now, effects) -> core.allRows(rows, version, now, effects));
    }

    @Override
    public void onManifest(Manifest manifest) {
        loop.run((now, effects) -> {
            if (core.manifest(manifest, now, effects)) {
                LOG.info(
                        "manifest {} in force, {} routes",
                        manifest.version(),
                        manifest.routes().size());
            }
        });
    }

    @Override
    public void onEvacuatedZones(Set<Zone> zones) {
        LOG.info("availability zones out of service: {}", zones);
        loop.run((now, effects) -> core.zonesOut(zones, now, effects));
    }

    @Override
    public void close() {
        callers.close();
        gate.close();
        front.close();
        peers.close();
        backend.close();
        store.close();
    }
}
