package org.verbenamast.standins.platform;

/**
 * The faults that the platform's stand-in shows.
 *
 * @param outage whether every request is refused
 * @param delayMillis how late replies are, in milliseconds
 * @param loseReplies to how many of the next transactions the reply is lost after they took effect
 * @param readsPerSecond how many reads are taken in a second, or 0 for any number
 * @param writesPerSecond how many transactions are taken in a second, or 0 for any number
 */
public record PlatformFaults(
        boolean outage, long delayMillis, int loseReplies, int readsPerSecond, int writesPerSecond) {

    /** A platform without faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0);

    PlatformFaults withReplyLost() {
        return new PlatformFaults(outage, delayMillis, loseReplies - 1, readsPerSecond, writesPerSecond);
    }
}
