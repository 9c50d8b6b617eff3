package org.verbenamast.relay.telemetry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogQueueTest {

    private static final int LINES = 200;
    private static final int CAPACITY = 20;

    private final LoggerContext context = new LoggerContext();
    private final CountDownLatch writerReleased = new CountDownLatch(1);
    private final AtomicLong written = new AtomicLong();

    private LogQueue queue() {
        context.setMDCAdapter(new LogbackMDCAdapter());
        AppenderBase<ILoggingEvent> blocked = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                try {
                    writerReleased.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.incrementAndGet();
            }
        };
        blocked.setContext(context);
        blocked.start();
        LogQueue queue = new LogQueue();
        queue.setContext(context);
        queue.setNeverBlock(true);
        queue.setQueueSize(CAPACITY);
        queue.addAppender(blocked);
        queue.start();
        return queue;
    }

    private void write(LogQueue queue, Level level) {
        Logger logger = context.getLogger("lines");
        logger.setAdditive(false);
        logger.setLevel(Level.INFO);
        logger.addAppender(queue);
        for (int i = 0; i < LINES; i++) {
            if (level == Level.WARN) {
                logger.warn("line {}", i);
            } else {
                logger.info("line {}", i);
            }
        }
    }

    @Test
    void should_count_each_dropped_line_when_the_writer_is_blocked() {
        // given
        LogQueue queue = queue();

        // when
        write(queue, Level.INFO);
        writerReleased.countDown();
        queue.stop();

        // then
        assertThat(queue.dropped()).isPositive();
        assertThat(queue.dropped() + written.get()).isEqualTo(LINES);
    }

    @Test
    void should_count_dropped_warnings_when_the_queue_is_full() {
        // given
        LogQueue queue = queue();

        // when
        write(queue, Level.WARN);
        writerReleased.countDown();
        queue.stop();

        // then
        assertThat(queue.dropped()).isPositive();
        assertThat(queue.dropped() + written.get()).isEqualTo(LINES);
    }

    @Test
    void should_return_a_count_when_logging_is_configured_without_the_queue() {
        assertThat(LogQueue.droppedLines()).isNotNegative();
    }
}
