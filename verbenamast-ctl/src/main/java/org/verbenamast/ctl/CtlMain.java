package org.verbenamast.ctl;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Supplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.verbenamast.core.model.Address;
import org.verbenamast.wire.settings.SettingsFault;
import org.verbenamast.wire.settings.SettingsFile;

/** The operators' command line. */
public final class CtlMain {

    private static final String PROGRAM = "verbenamast-ctl";

    private final PrintStream out;
    private final PrintStream err;
    private final Supplier<OperatorApi> api;
    private final Supplier<String> clock;
    private final Supplier<String> ids;

    CtlMain(PrintStream out, PrintStream err, Supplier<OperatorApi> api, Supplier<String> clock, Supplier<String> ids) {
        this.out = out;
        this.err = err;
        this.api = api;
        this.clock = clock;
        this.ids = ids;
    }

    /**
     * Runs one command.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        CtlMain program = new CtlMain(
                System.out,
                System.err,
                HttpOperatorApi::new,
                () -> Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(),
                () -> UUID.randomUUID().toString());
        System.exit(program.run(args).code());
    }

    ExitCode run(String... args) {
        CtlOptions options = new CtlOptions();
        JCommander commander = new JCommander(options);
        commander.setProgramName(PROGRAM);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            err.println(PROGRAM + ": " + e.getMessage());
            return ExitCode.BAD_INPUT;
        }
        if (options.help) {
            return help(commander);
        }
        if (options.version) {
            String implementation = CtlMain.class.getPackage().getImplementationVersion();
            out.println(PROGRAM + " " + (implementation == null ? "development" : implementation));
            return ExitCode.OK;
        }
        return run(options);
    }

    private ExitCode help(JCommander commander) {
        StringBuilder usage = new StringBuilder();
        commander.getUsageFormatter().usage(usage);
        out.print(usage);
        out.println("  Commands:");
        for (CtlCommand command : CtlCommand.values()) {
            out.println(command.help());
        }
        out.println("  Exit codes: 0 carried out, 1 refused, 2 bad input, 3 unreachable or effect unknown");
        return ExitCode.OK;
    }

    private ExitCode run(CtlOptions options) {
        Either<CtlFault, ExitCode> end = CtlCommand.of(options.words)
                .flatMap(command -> settings(options).flatMap(settings -> {
                    Printer printer = new Printer(out, options.json);
                    return command.run(new Session(options, settings, api.get(), printer, clock, ids));
                }));
        if (end.isLeft()) {
            end.getLeft().messages().forEach(message -> err.println(PROGRAM + ": " + message));
            return end.getLeft().code();
        }
        return end.get();
    }

    private static Either<CtlFault, CtlSettings> settings(CtlOptions options) {
        CtlSettings settings = CtlSettings.NONE;
        if (!options.settings.isEmpty()) {
            Either<List<SettingsFault>, CtlSettings> read =
                    SettingsFile.read(Path.of(options.settings), CtlSettings::read);
            if (read.isLeft()) {
                return Either.left(CtlFault.shouldBeSound(read.getLeft()));
            }
            settings = read.get();
        }
        List<Address> nodes = new ArrayList<>();
        try {
            options.nodes.forEach(node -> nodes.add(Address.parse(node)));
        } catch (IllegalArgumentException e) {
            return Either.left(CtlFault.shouldBeReadable("--node", e.getMessage()));
        }
        return Either.right(settings.withNodes(nodes));
    }
}
