package org.verbenamast.load;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.verbenamast.core.model.Address;

/** The load tool: sends load, or compares two reports. */
public final class LoadMain {

    private static final String PROGRAM = "verbenamast-load";
    private static final int BAD_INPUT = 2;
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private LoadMain() {}

    /**
     * Runs the tool.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        LoadOptions options = new LoadOptions();
        JCommander commander = new JCommander(options);
        commander.setProgramName(PROGRAM);
        try {
            commander.parse(args);
            return run(options, commander, out);
        } catch (ParameterException | IllegalArgumentException | IOException e) {
            err.println(PROGRAM + ": " + e.getMessage());
            return BAD_INPUT;
        }
    }

    private static int run(LoadOptions options, JCommander commander, PrintStream out) throws IOException {
        if (options.help()) {
            StringBuilder usage = new StringBuilder();
            commander.getUsageFormatter().usage(usage);
            out.print(usage);
        } else if (options.version()) {
            String version = LoadMain.class.getPackage().getImplementationVersion();
            out.println(PROGRAM + " " + (version == null ? "development" : version));
        } else if (!options.compare().isEmpty()) {
            out.print(Comparison.of(
                    read(options.compare().get(0)), read(options.compare().get(1))));
        } else {
            send(options, out);
        }
        return 0;
    }

    private static LoadReport read(String file) throws IOException {
        return MAPPER.readValue(new File(file), LoadReport.class);
    }

    private static void send(LoadOptions options, PrintStream out) throws IOException {
        LoadPlan plan = new LoadPlan(
                options.targets().stream().map(Address::parse).toList(),
                options.kind(),
                options.paths(),
                options.rate(),
                options.seconds(),
                options.keys(),
                options.seed());
        LoadReport report = LoadRunner.run(plan);
        out.println(MAPPER.writeValueAsString(report));
        if (!options.out().isEmpty()) {
            MAPPER.writeValue(new File(options.out()), report);
        }
    }
}
