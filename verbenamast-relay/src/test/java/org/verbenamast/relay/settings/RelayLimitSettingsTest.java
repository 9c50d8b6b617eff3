package org.verbenamast.relay.settings;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.HostLimits;
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.core.tenant.CapBounds;
import org.verbenamast.wire.settings.SettingsFile;

import static org.assertj.core.api.Assertions.assertThat;

class RelayLimitSettingsTest {

    private static final String ENVIRONMENT = "{\"host\": {\"memoryMegabytes\": 682, \"linkMegabits\": 140.0},"
            + "\"caps\": {\"windowMillis\": 5000, \"overage\": 0.1, \"slack\": 20}}";

    private static RelayLimits read(String json, RelayLimits usual) {
        return SettingsFile.parse("limits", json, file -> RelayLimitSettings.read(file, usual))
                .get();
    }

    @Test
    void should_keep_the_usual_limits_when_the_environment_sets_none() {
        assertThat(read("{}", RelayLimits.DEFAULT)).isEqualTo(RelayLimits.DEFAULT);
    }

    @Test
    void should_prefer_the_settings_file_when_the_environment_sets_limits_too() {
        // given
        RelayLimits granted = read(ENVIRONMENT, RelayLimits.DEFAULT);

        // when
        RelayLimits limits = read("{\"host\": {\"memoryMegabytes\": 300}, \"hedgesPerMille\": 20}", granted);

        // then
        HostLimits usual = HostLimits.DEFAULT;
        assertThat(limits.host()).isEqualTo(new HostLimits(300, usual.descriptors(), 140, usual.cpuShare()));
        assertThat(limits.caps()).isEqualTo(new CapBounds(5_000, 0.1, 20));
        assertThat(limits.hedgesPerMille()).isEqualTo(20);
    }

    @Test
    void should_name_the_fault_when_a_limit_is_out_of_range() {
        assertThat(SettingsFile.parse(
                                "limits",
                                "{\"host\": {\"linkMegabits\": -1}}",
                                file -> RelayLimitSettings.read(file, RelayLimits.DEFAULT))
                        .getLeft())
                .hasSize(1);
    }
}
