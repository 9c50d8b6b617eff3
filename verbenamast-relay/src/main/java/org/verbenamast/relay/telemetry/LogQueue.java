package org.verbenamast.relay.telemetry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import org.slf4j.LoggerFactory;

/**
 * The bounded queue in front of the log's writer, which counts what it drops. Where a fifth of it is left, lines of
 * level INFO and below are dropped; where nothing is left, all lines are.
 */
public final class LogQueue extends AsyncAppender {

    private static final String APPENDER_NAME = "queue";

    private long dropped;

    @Override
    protected boolean isDiscardable(ILoggingEvent event) {
        boolean drops = super.isDiscardable(event) || getRemainingCapacity() == 0;
        if (drops) {
            dropped++;
        }
        return drops;
    }

    long dropped() {
        return dropped;
    }

    /**
     * Tells how many lines the queue of this process has dropped. All lines come from the one loop, so that the count
     * is exact.
     *
     * @return the lines since the start; 0 where the log is set up without this queue
     */
    public static long droppedLines() {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        Appender<ILoggingEvent> queue = root.getAppender(APPENDER_NAME);
        return queue instanceof LogQueue counting ? counting.dropped() : 0;
    }
}
