package org.verbenamast.ctl;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The command line: the words of a command, and options that may stand anywhere. */
public final class CtlOptions {

    @Parameter(description = "COMMAND")
    List<String> words = new ArrayList<>();

    @Parameter(names = "--settings", description = "JSON file with nodes, operator and privateKey")
    String settings = "";

    @Parameter(names = "--node", description = "IP number and port of a node's operator interface; may be repeated")
    List<String> nodes = new ArrayList<>();

    @Parameter(names = "--json", description = "print JSON for programs")
    boolean json;

    @Parameter(names = "--file", description = "the table's file; its ending, .csv or .json, tells the format")
    String file = "";

    @Parameter(names = "--against", description = "the file of the manifest in force")
    String against = "";

    @Parameter(names = "--reason", description = "why; kept with the command")
    String reason = "";

    @Parameter(
            names = "--set",
            description = "a row as SERVICE/ZONE/SERVER,WEIGHT,CONCURRENCY,RATE; may be repeated",
            splitter = NoSplitter.class)
    List<String> rows = new ArrayList<>();

    @Parameter(names = "--service", description = "only this service")
    String service = "";

    @Parameter(names = "--format", description = "csv or json for tables; text, dot or mermaid for charts")
    String format = "";

    @Parameter(names = "--last", description = "how many versions to list")
    int last = 20;

    @Parameter(names = "--seconds", description = "how long to watch, in seconds")
    int seconds = 10;

    @Parameter(names = "--help", help = true, description = "print this help and exit")
    boolean help;

    @Parameter(names = "--version", help = true, description = "print the version and exit")
    boolean version;

    /** Keeps a value with commas whole. */
    static final class NoSplitter implements com.beust.jcommander.converters.IParameterSplitter {

        @Override
        public List<String> split(String value) {
            return List.of(value);
        }
    }
}
