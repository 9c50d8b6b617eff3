package org.verbenamast.core.gate.limit;

import java.util.Objects;

import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.node.Timing;

/**
 * What the node knows of the backend server beside it.
 *
 * @param settings how the limit grows
 * @param announcement what the backend server announced last, or null before the first time
 * @param limit how many requests it may run at once
 * @param successes the answers since the limit grew last
 * @param latency its usual latency
 * @param announcedAt when it announced itself last, in nanoseconds
 * @param pauseNanos the longest recent pause between announcements, in nanoseconds; 0 before the second one
 */
public record ServerData(
        RampSettings settings,
        ServerAnnouncement announcement,
        int limit,
        int successes,
        Latency latency,
        long announcedAt,
        long pauseNanos) {

    private static final long UNKNOWN_PAUSE_NANOS = Timing.millisToNanos(3_600_000);
    private static final int PAUSE_DECAY_SHIFT = 3;

    /** Checks the parts. */
    public ServerData {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(latency, "latency");
    }

    static ServerData unseen(RampSettings settings) {
        Latency latency = new Latency(0, settings.slowFactor(), Timing.millisToNanos(settings.slowFloorMillis()));
        return new ServerData(settings, null, 0, 0, latency, 0, 0);
    }

    ServerData announced(ServerAnnouncement next, long now) {
        long pause = announcement == null ? 0 : now - announcedAt;
        long longest = Math.max(pause, pauseNanos - (pauseNanos >> PAUSE_DECAY_SHIFT));
        int capped = Math.min(limit, next.slots());
        return new ServerData(settings, next, capped, successes, latency, now, longest);
    }

    ServerData cold() {
        return withLimit(Math.min(settings.coldLimit(), announcement.slots()), 0);
    }

    ServerData grown() {
        boolean step = successes + 1 >= settings.successesPerStep();
        return step ? withLimit(Math.min(limit + 1, announcement.slots()), 0) : withLimit(limit, successes + 1);
    }

    ServerData shrunk() {
        return withLimit(Math.max(1, limit / 2), 0);
    }

    private ServerData withLimit(int next, int counted) {
        return new ServerData(settings, announcement, next, counted, latency, announcedAt, pauseNanos);
    }

    ServerData withLatency(Latency next) {
        return new ServerData(settings, announcement, limit, successes, next, announcedAt, pauseNanos);
    }

    long silenceNanos() {
        if (pauseNanos == 0) {
            return UNKNOWN_PAUSE_NANOS;
        }
        return Math.max(Timing.millisToNanos(settings.silenceFloorMillis()), pauseNanos * settings.silenceFactor());
    }
}
