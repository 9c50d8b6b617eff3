package org.verbenamast.relay;

import com.beust.jcommander.Parameter;
import org.verbenamast.platform.PlatformEnvironment;

/** The command-line options of the node. */
final class RelayOptions {

    @Parameter(
            names = {"--settings", "-s"},
            description = "JSON settings file; the default is the file that the platform provides")
    private String settings = PlatformEnvironment.settingsFile();

    @Parameter(names = "--check-settings", description = "list all faults in the settings and exit")
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
