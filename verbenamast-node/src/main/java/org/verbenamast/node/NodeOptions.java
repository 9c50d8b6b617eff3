package org.verbenamast.node;

import com.beust.jcommander.Parameter;

/** The command-line options of the node. */
public final class NodeOptions {

    /** The settings file with which the node runs. */
    @Parameter(
            names = {"--settings", "-s"},
            description = "run with the settings in this JSON file")
    private String settings = "";

    /** The settings file that is only checked. */
    @Parameter(names = "--check-settings", description = "check this JSON file, list every fault and exit")
    private String checkSettings = "";

    /** Whether the help is printed. */
    @Parameter(names = "--help", help = true, description = "print this help and exit")
    private boolean help;

    /** Whether the version is printed. */
    @Parameter(names = "--version", help = true, description = "print the version and exit")
    private boolean version;

    String settings() {
        return settings;
    }

    String checkSettings() {
        return checkSettings;
    }

    boolean help() {
        return help;
    }

    boolean version() {
        return version;
    }
}
