package org.verbenamast.it;

import java.io.IOException;
import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.it.soak.SoakPlan;
import org.verbenamast.it.soak.SoakReport;
import org.verbenamast.it.soak.SoakRun;

import static org.assertj.core.api.Assertions.assertThat;

/** Short soaks; seeds that have failed are kept here, each with a line on its cause. */
class SoakTest {

    private static final int SECONDS = 10;
    private static final int HOSTS = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void should_keep_every_promise_when_faults_come_at_random(long seed) throws IOException {
        // given
        SoakPlan plan = new SoakPlan(seed, SECONDS, HOSTS);
        Path root = Path.of("..").toAbsolutePath().normalize();

        // when
        SoakReport report = SoakRun.run(plan, root, Path.of("target", "soak-" + seed));

        // then
        assertThat(report.violations()).as(report.faults().toString()).isEmpty();
        assertThat(report.recoveredMillis()).as(report.faults().toString()).isNotNegative();
    }
}
