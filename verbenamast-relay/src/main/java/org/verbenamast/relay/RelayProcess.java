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
import org.verbenamast.core.backend.NoticeEffect;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.Tenant;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.relay.RelaySettings;
import org.verbenamast.core.relay.TableAnswers;
import org.verbenamast.core.rows.BroadcastRows;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.stop.StopController;
import org.verbenamast.core.stop.StopEffect;
import org.verbenamast.core.tenant.CapEffect;
import org.verbenamast.core.watch.FollowEffect;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.core.watch.OperatorRow;
import org.verbenamast.relay.backend.BackendPool;
import org.verbenamast.relay.caller.CallerServer;
import org.verbenamast.relay.caller.CallerSettings;
import org.verbenamast.relay.net.ClientRegister;
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

/** A running node: creates its parts and connects them on one event loop. */
public final class RelayProcess implements StoreObserver, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(RelayProcess.class);

    /** Interval of the checks of the clocks and of idle connections, in milliseconds. */
    private static final long HOUSEKEEPING_INTERVAL_MILLIS = 100;

    private static final long MILLIS_PER_SECOND = 1_000;
    /** Interval of the checks of the settings file, in milliseconds; a change must be in force within 3 s. */
    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 1_000;
    /** Jump of the wall clock that is treated as a suspension of the host, in milliseconds. */
    private static final long SUSPENSION_THRESHOLD_MILLIS = 200;

    private final SettingsWatch watch;
    private RelayNodeSettings settings;
    private final Eventloop eventloop;
    private final RelayCore core;
    private final TableAnswers answers;
    private final RelayLoop loop;
    private final StoreClient store;
    private final PeerPool peers;
    private final BackendPool backend;
    private final ClientRegister clients;
    private final CallerServer callers;
    private final GateServer gate;
    private final PlatformFront front;
    private final RequestCounts counts = new RequestCounts();
    private final PeerNotifier peerSender;
    private final SuspensionDetector suspensionDetector = new SuspensionDetector(SUSPENSION_THRESHOLD_MILLIS);
    private final StopController stop = new StopController(BeliefLog::transition);
    private long nextSettingsCheckAt;
    private long reportedDropped;

    /**
     * Creates a node that does not listen yet.
     *
     * @param settings the settings at the start
     * @param watch detects changes of the settings file
     */
    public RelayProcess(RelayNodeSettings settings, SettingsWatch watch) {
        this.watch = Objects.requireNonNull(watch, "watch");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.eventloop = Eventloop.builder()
                .withCurrentThread()
                .withTimeProvider(() -> System.nanoTime() / Timing.NANOS_PER_MILLI)
                .withFatalErrorHandler(
                        (e, context) -> LOG.error("uncaught exception in the event loop; the node keeps running", e))
                .build();
        this.core = new RelayCore(coreSettings(settings), BeliefLog::transition);
        this.answers = new TableAnswers(core);
        this.loop = new RelayLoop(eventloop, core, counts, this::run);
        this.store = new StoreClient(eventloop, settings.store(), this);
        this.peers = new PeerPool(eventloop);
        this.backend = new BackendPool(eventloop, settings.server());
        this.clients = new ClientRegister(settings.limits()
                .clients()
                .resolve(
                        Runtime.getRuntime().maxMemory(),
                        settings.limits().host().descriptors()));
        CallerSettings callerSettings = new CallerSettings(
                settings.callers(), settings.service(), settings.limits().clients());
        this.callers = new CallerServer(eventloop, callerSettings, clients, core, loop, peers, counts);
        this.gate = new GateServer(eventloop, settings.peers(), clients, core, loop, backend, counts);
        this.front = new PlatformFront(
                eventloop, settings, core, loop, new MetricsPage(core, counts, clients), () -> !stop.isStopping());
        this.peerSender = new PeerNotifier(peers);
    }

    private static RelaySettings coreSettings(RelayNodeSettings settings) {
        return new RelaySettings(
                settings.node(),
                new SecureRandom().nextLong(1, Long.MAX_VALUE),
                settings.zone(),
                settings.service(),
                settings.server(),
                settings.peers(),
                KeyLeaseTimings.DEFAULT,
                settings.drainMillis(),
                settings.limits(),
                RelayLoop.now(),
                () -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Runs until the process gets SIGTERM and has stopped. SIGHUP reads the settings again.
     *
     * @throws IOException if an address can't be bound
     */
    public void run() throws IOException {
        callers.listen();
        gate.listen();
        front.listen();
        Signal.handle(new Signal("TERM"), signal -> eventloop.execute(this::stop));
        Signal.handle(
                new Signal("HUP"),
                signal -> eventloop.execute(() -> watch.read().ifPresent(this::applySettings)));
        LOG.info("node {} of {} started, callers at {}", settings.node(), settings.zone(), settings.callers());
        eventloop.keepAlive(true);
        applySettings(settings);
        eventloop.post(() -> loop.run(core::start));
        housekeep();
        eventloop.run();
    }

    private void housekeep() {
        eventloop.delayBackground(HOUSEKEEPING_INTERVAL_MILLIS, () -> {
            // Scheduled first, so that an error below can't end the housekeeping, and with it the stop of the node.
            housekeep();
            boolean isIdle = callers.idle() && core.admission().isIdle();
            loop.run((now, effects) -> stop.advance(isIdle, now, effects));
            if (suspensionDetector.maybeSuspended()) {
                LOG.warn("the host may have been suspended; confirming leases again");
                loop.run(core::onSuspended);
            }
            callers.closeIdle();
            reportDropped();
            checkSettings();
        });
    }

    /** Logs how many log lines were dropped. If this line is dropped too, the next call logs the higher count. */
    private void reportDropped() {
        long dropped = LogQueue.droppedLines();
        if (dropped > reportedDropped) {
            LOG.warn("{} log lines dropped since the start: the writer is too slow", dropped);
            reportedDropped = dropped;
        }
    }

    private void checkSettings() {
        if (RelayLoop.now() >= nextSettingsCheckAt) {
            nextSettingsCheckAt = RelayLoop.now() + Timing.millisToNanos(SETTINGS_CHECK_INTERVAL_MILLIS);
            watch.readIfChanged().ifPresent(this::applySettings);
        }
    }

    private void applySettings(RelayNodeSettings next) {
        settings = next;
        loop.run((now, effects) -> core.onTimingsChanged(next.drainMillis(), next.longestHoldMillis(), now, effects));
    }

    private void stop() {
        if (!stop.isStopping()) {
            LOG.info("node {} is stopping", settings.node());
            loop.run((now, effects) -> stop.stop(settings.graceSeconds() * MILLIS_PER_SECOND, now, effects));
            callers.stop(stop.answersUntil());
            loop.run((now, effects) -> core.admission().stop(now, effects));
        }
    }

    private void run(StopEffect effect) {
        if (effect == StopEffect.REFUSE_NEW) {
            callers.refuseNew();
            loop.run(core.admission()::close);
        } else if (effect == StopEffect.ANSWER_OPEN) {
            loop.run(core.entry()::expireAll);
            loop.run(core.admission()::expireAll);
        } else {
            LOG.info("node {} stopped", settings.node());
            eventloop.breakEventloop();
        }
    }

    private void run(Effect effect) {
        if (effect instanceof EntryEffect entry) {
            callers.run(entry);
        } else if (effect instanceof AdmissionEffect admission) {
            gate.run(admission);
        } else if (effect instanceof StoreEffect call) {
            store.run(call);
        } else if (effect instanceof FollowEffect follow) {
            store.run(follow);
        } else if (effect instanceof StopEffect stopping) {
            run(stopping);
        } else if (effect instanceof NoticeEffect answer) {
            front.run(answer);
        } else if (effect instanceof KeyEffect.SendLoadReport report) {
            peerSender.send(report);
        } else if (effect instanceof CapEffect cap) {
            peerSender.send(cap);
            callers.run(cap);
        } else if (effect instanceof KeyEffect.Granted granted) {
            BeliefLog.granted(granted);
        } else if (effect instanceof KeyEffect.Withdrawn withdrawn) {
            BeliefLog.withdrawn(withdrawn);
        } else if (effect instanceof BroadcastRows broadcast) {
            peerSender.send(broadcast, core.roster().members(), settings.peers());
        } else {
            throw new IllegalStateException("no part of the node executes this effect: " + effect);
        }
    }

    @Override
    public StoredRow knownRow(RowRef ref) {
        return core.knownRow(ref);
    }

    @Override
    public void onStoreEra(long era) {
        LOG.warn("the store has come back from an older copy; its era is now {}", era);
        loop.run((now, effects) -> core.follow().onEra(era, now, effects));
        loop.run(core::advance);
    }

    @Override
    public void onStoreResult(StorePurpose purpose, long callId, StoreResult result) {
        counts.recordStoreCall(purpose.name(), result.getClass().getSimpleName());
        if (result instanceof StoreResult.Failed failed) {
            LOG.info("store call for {} failed: {}", purpose, failed.failure());
        }
        loop.run((now, effects) -> core.onStoreResult(purpose, callId, result, now, effects));
    }

    @Override
    public void onAnswerArriving(FollowedTable table, long callId) {
        loop.run((now, effects) -> core.follow().onAnswerArriving(table, callId, now, effects));
    }

    @Override
    public void onFollowFailed(FollowResult result) {
        loop.run((now, effects) -> core.follow().onCallEnded(result, now, effects));
    }

    @Override
    public void onOperatorRows(FollowResult result, List<OperatorRow> rows) {
        loop.run((now, effects) -> {
            long manifestBefore = core.manifest().version();
            List<Tenant> tenantsBefore =
                    answers.operators().manifest().map(Manifest::tenants).orElse(List.of());
            Set<Zone> zonesBefore = answers.operators().evacuatedZones();
            answers.onOperatorRows(result, rows, now, effects);
            if (core.manifest().version() != manifestBefore) {
                answers.operators().manifest().ifPresent(BeliefLog::manifestInForce);
                answers.operators().manifest().ifPresent(next -> BeliefLog.capsChanged(tenantsBefore, next));
                callers.onManifestChanged();
            }
            if (!answers.operators().evacuatedZones().equals(zonesBefore)) {
                LOG.info(
                        "availability zones out of service: {}",
                        answers.operators().evacuatedZones());
            }
        });
    }

    @Override
    public void onSharedRows(FollowResult result, List<StoredRow> rows) {
        loop.run((now, effects) -> answers.onSharedRows(result, rows, now, effects));
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
