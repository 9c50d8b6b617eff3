package org.verbenamast.core.gate.limit;

import java.util.Objects;

import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.node.Timing;

/**
 * The data of the backend server beside this node in chart {@code server}.
 *
 * @param settings how the concurrency limit grows
 * @param announcement the last announcement, or null before the first one
 * @param limit the concurrency limit, in requests
 * @param successes the successful answers that count towards the next increase of the limit
 * @param latency its usual latency
 * @param announcedAt the monotonic time of the last announcement, in nanoseconds
 * @param longestPauseNanos the longest recent interval between announcements, in nanoseconds, reduced by an eighth with
 *     each announcement; 0 before the second announcement
 */
public record ServerData(
        RampSettings settings,
        ServerAnnouncement announcement,
        int limit,
        int successes,
        Latency latency,
        long announcedAt,
        long longestPauseNanos) {

    /** Timeout while the usual interval is unknown, that is, before the second announcement. */
    private static final long INITIAL_SILENCE_TIMEOUT_NANOS = Timing.millisToNanos(3_600_000);

    private static final int PAUSE_DECAY_SHIFT = 3;

    /** Checks that settings and latency are not null. */
    public ServerData {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(latency, "latency");
    }

    static ServerData initial(RampSettings settings) {
        Latency latency = new Latency(0, settings.slowFactor(), Timing.millisToNanos(settings.slowFloorMillis()));
        return new ServerData(settings, null, 0, 0, latency, 0, 0);
    }

    ServerData withAnnouncement(ServerAnnouncement next, long now) {
        long pause = announcement == null ? 0 : now - announcedAt;
        long longest = Math.max(pause, longestPauseNanos - (longestPauseNanos >> PAUSE_DECAY_SHIFT));
        int capped = Math.min(limit, next.slots());
        return new ServerData(settings, next, capped, successes, latency, now, longest);
    }

    ServerData withColdLimit() {
        return withLimit(Math.min(settings.coldLimit(), announcement.slots()), 0);
    }

    ServerData withSuccess() {
        boolean step = successes + 1 >= settings.successesPerStep();
        return step ? withLimit(Math.min(limit + 1, announcement.slots()), 0) : withLimit(limit, successes + 1);
    }

    ServerData withHalvedLimit() {
        return withLimit(Math.max(1, limit / 2), 0);
    }

    private ServerData withLimit(int next, int counted) {
        return new ServerData(settings, announcement, next, counted, latency, announcedAt, longestPauseNanos);
    }

    ServerData withLatency(Latency next) {
        return new ServerData(settings, announcement, limit, successes, next, announcedAt, longestPauseNanos);
    }

    long silenceTimeoutNanos() {
        if (longestPauseNanos == 0) {
            return INITIAL_SILENCE_TIMEOUT_NANOS;
        }
        return Math.max(
                Timing.millisToNanos(settings.silenceFloorMillis()), longestPauseNanos * settings.silenceFactor());
    }
}
