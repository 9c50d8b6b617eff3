package org.verbenamast.relay.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

import static org.assertj.core.api.Assertions.assertThat;

class LogConfiguratorTest {

    @Test
    void should_log_through_the_queue_that_never_blocks_when_a_process_starts() {
        // given
        LoggerContext context = new LoggerContext();
        LogConfigurator configurator = new LogConfigurator();
        configurator.setContext(context);

        // when
        configurator.configure(context);

        // then
        var root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        assertThat(root.getLevel()).isEqualTo(Level.INFO);
        assertThat(context.getLogger("io.netty").getLevel()).isEqualTo(Level.WARN);
        assertThat(root.getAppender(LogQueue.APPENDER_NAME)).isInstanceOfSatisfying(LogQueue.class, queue -> {
            assertThat(queue.isNeverBlock()).isTrue();
            assertThat(queue.isStarted()).isTrue();
            assertThat(queue.iteratorForAppenders()).toIterable().hasSize(1);
        });
        context.stop();
    }
}
