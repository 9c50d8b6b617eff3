package org.verbenamast.relay;

import com.beust.jcommander.Parameter;
import org.verbenamast.platform.PlatformEnvironment;

/** The command line of the node. */
final class RelayOptions {

    @Parameter(
            names = {"--settings", "-s"},
            description = "run with the settings in this JSON file; without it, with those that the platform places")
    private String settings = PlatformEnvironment.settingsFile();

    @Parameter(names = "--check-settings", description = "list every fault of the settings and exit")
    private boolean checkOnly;

    @Parameter(names = "--help", help = true, description = "print this help and exit")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "print the version and exit")
    private boolean version;

    String settings() {
        return settings;
    }

    boolean checkOnly() {
        return checkOnly;
    }

    boolean help() {
        return help;
    }

    boolean version() {
        return version;
    }
}
