package org.verbenamast.relay.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;

/**
 * Configures the log of a process: JSON lines on standard output, behind a queue that never blocks the event loop. Done
 * in code, because reading a configuration file takes a quarter of the processor time of a start.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    /** The environment variable that sets the lowest level that is logged; {@code INFO} if it is not set. */
    static final String LEVEL_VARIABLE = "VERBENAMAST_LOG_LEVEL";

    private static final int QUEUE_LINES = 1_024;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        LogQueue queue = new LogQueue();
        queue.setContext(context);
        queue.setName(LogQueue.APPENDER_NAME);
        queue.setNeverBlock(true);
        queue.setQueueSize(QUEUE_LINES);
        queue.addAppender(standardOutput(context));
        queue.start();
        context.getLogger("io.activej").setLevel(Level.WARN);
        context.getLogger("io.netty").setLevel(Level.WARN);
        var root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
        root.addAppender(queue);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static ConsoleAppender<ILoggingEvent> standardOutput(LoggerContext context) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> output = new ConsoleAppender<>();
        output.setContext(context);
        output.setName("stdout");
        output.setEncoder(encoder);
        output.start();
        return output;
    }
}
