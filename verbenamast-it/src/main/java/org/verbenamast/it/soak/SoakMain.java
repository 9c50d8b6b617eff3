package org.verbenamast.it.soak;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Runs soaks with one seed after the other and prints a line of JSON for each. */
public final class SoakMain {

    private static final String PROGRAM = "verbenamast-soak";
    private static final int BAD_INPUT = 2;

    @Parameter(names = "--seed", description = "the seed of the first soak")
    private long seed = 1;

    @Parameter(names = "--count", description = "how many soaks, each with the next seed")
    private int count = 1;

    @Parameter(names = "--seconds", description = "for how long faults begin in each, in seconds")
    private int seconds = 20;

    @Parameter(names = "--hosts", description = "how many hosts")
    private int hosts = 6;

    @Parameter(names = "--drill", description = "let the store come back from an older copy at random")
    private boolean drill;

    @Parameter(names = "--root", description = "the root of the repository, with its modules built")
    private String root = ".";

    @Parameter(names = "--help", help = true, description = "print this help and exit")
    private boolean help;

    private SoakMain() {}

    /**
     * Runs the soaks; exits with 1 where a promise was broken and with 2 where the command line has faults.
     *
     * @param args the command line
     * @throws IOException where a fleet does not come up
     */
    public static void main(String[] args) throws IOException {
        SoakMain main = new SoakMain();
        JCommander commander = new JCommander(main);
        commander.setProgramName(PROGRAM);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(PROGRAM + ": " + e.getMessage());
            System.exit(BAD_INPUT);
        }
        if (main.help) {
            commander.usage();
            return;
        }
        System.exit(main.run() ? 0 : 1);
    }

    private boolean run() throws IOException {
        boolean sound = true;
        for (long each = seed; each < seed + count; each++) {
            Path folder = Path.of(root, "verbenamast-it", "target", "soak", "seed-" + each);
            SoakReport report = SoakRun.run(
                    new SoakPlan(each, seconds, hosts, drill),
                    Path.of(root).toAbsolutePath().normalize(),
                    folder);
            System.out.println(new ObjectMapper().writeValueAsString(report));
            sound &= report.sound();
        }
        return sound;
    }
}
