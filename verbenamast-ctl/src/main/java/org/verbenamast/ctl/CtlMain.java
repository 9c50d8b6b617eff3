package org.verbenamast.ctl;

import java.io.PrintStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/** The operators' command line. */
public final class CtlMain {

    private static final String PROGRAM = "verbenamast-ctl";
    private static final int BAD_INPUT = 2;

    @Parameter(names = "--help", help = true, description = "print this help and exit")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "print the version and exit")
    private boolean version;

    private CtlMain() {}

    /**
     * Runs one command.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        CtlMain options = new CtlMain();
        JCommander commander = new JCommander(options);
        commander.setProgramName(PROGRAM);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            err.println(PROGRAM + ": " + e.getMessage());
            return BAD_INPUT;
        }
        if (options.version) {
            String implementation = CtlMain.class.getPackage().getImplementationVersion();
            out.println(PROGRAM + " " + (implementation == null ? "development" : implementation));
            return 0;
        }
        StringBuilder usage = new StringBuilder();
        commander.getUsageFormatter().usage(usage);
        out.print(usage);
        return options.help ? 0 : BAD_INPUT;
    }
}
