package org.verbenamast.relay.telemetry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import org.slf4j.LoggerFactory;

/**
 * A bounded queue in front of the log writer that counts the lines it drops. If less than a fifth of its capacity is
 * left, it drops lines of level INFO and below; if it is full, it drops all lines.
 */
public final class LogQueue extends AsyncAppender {

    static final String APPENDER_NAME = "queue";

    private long dropped;

    @Override
    protected boolean isDiscardable(ILoggingEvent event) {
        boolean discard = super.isDiscardable(event) || getRemainingCapacity() == 0;
        if (discard) {
            dropped++;
        }
        return discard;
    }

    long dropped() {
        return dropped;
    }

    /**
     * Returns how many lines the queue of this process has dropped. The count is exact, because only the event loop's
     * thread logs.
     *
     * @return the number of lines since the start; 0 if logging is configured without this queue
     */
    public static long droppedLines() {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        Appender<ILoggingEvent> appender = root.getAppender(APPENDER_NAME);
        return appender instanceof LogQueue queue ? queue.dropped() : 0;
    }
}
