package org.verbenamast.load;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The command-line options of the load tool. */
public final class LoadOptions {

    @Parameter(names = "--target", description = "where a node listens for callers, as IP:PORT; may be given often")
    private List<String> targets = new ArrayList<>();

    @Parameter(names = "--kind", description = "what the targets are: NODE, or SERVER for backend servers")
    private TargetKind kind = TargetKind.NODE;

    @Parameter(names = "--path", description = "a path to ask for; %d stands for a random key; may be given often")
    private List<String> paths = new ArrayList<>();

    @Parameter(names = "--rate", description = "requests per second in all")
    private int rate = 100;

    @Parameter(names = "--seconds", description = "how long to send, in seconds")
    private int seconds = 10;

    @Parameter(names = "--keys", description = "how many different keys to use")
    private int keys = 1_000;

    @Parameter(names = "--seed", description = "the seed of the random choices")
    private long seed = 1;

    @Parameter(names = "--out", description = "write the report to this JSON file")
    private String out = "";

    @Parameter(names = "--compare", arity = 2, description = "compare two reports instead of sending load")
    private List<String> compare = new ArrayList<>();

    @Parameter(names = "--help", help = true, description = "print this help and exit")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "print the version and exit")
    private boolean version;

    List<String> targets() {
        return targets;
    }

    TargetKind kind() {
        return kind;
    }

    List<String> paths() {
        return paths;
    }

    int rate() {
        return rate;
    }

    int seconds() {
        return seconds;
    }

    int keys() {
        return keys;
    }

    long seed() {
        return seed;
    }

    String out() {
        return out;
    }

    List<String> compare() {
        return compare;
    }

    boolean help() {
        return help;
    }

    boolean version() {
        return version;
    }
}
