package org.verbenamast.relay;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.platform.PlatformEnvironment;
import org.verbenamast.relay.settings.RelayLimitSettings;
import org.verbenamast.relay.settings.RelayNodeSettings;
import org.verbenamast.relay.settings.SettingsWatch;
import org.verbenamast.wire.settings.SettingsFault;
import org.verbenamast.wire.settings.SettingsFile;

/** Command-line entry point of a relay node on the users' platform. */
public final class RelayMain {

    private static final String PROGRAM = "verbenamast-relay";

    private RelayMain() {}

    /**
     * Runs the program and exits with an {@link ExitCode}.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err).code());
    }

    static ExitCode run(String[] args, PrintStream out, PrintStream err) {
        RelayOptions options = new RelayOptions();
        JCommander commander = new JCommander(options);
        commander.setProgramName(PROGRAM);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            err.println(PROGRAM + ": " + e.getMessage());
            return ExitCode.BAD_INPUT;
        }
        if (options.help()) {
            StringBuilder usage = new StringBuilder();
            commander.getUsageFormatter().usage(usage);
            out.print(usage);
            return ExitCode.OK;
        }
        if (options.version()) {
            String version = RelayMain.class.getPackage().getImplementationVersion();
            out.println(PROGRAM + " " + (version == null ? "development" : version));
            return ExitCode.OK;
        }
        return runWithFile(options, out, err);
    }

    private static ExitCode runWithFile(RelayOptions options, PrintStream out, PrintStream err) {
        String file = options.settings();
        if (file.isEmpty()) {
            err.println(PROGRAM + ": --settings FILE is needed; --help lists the options");
            return ExitCode.BAD_INPUT;
        }
        Either<List<SettingsFault>, RelayNodeSettings> settings = SettingsFile.parse(
                        "the limits in the environment",
                        PlatformEnvironment.limits(),
                        limits -> RelayLimitSettings.read(limits, RelayLimits.DEFAULT))
                .flatMap(limits ->
                        SettingsFile.read(Path.of(file), settingsFile -> RelayNodeSettings.read(settingsFile, limits)));
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> err.println(PROGRAM + ": " + file + ": " + fault));
            return ExitCode.BAD_INPUT;
        }
        if (options.checkOnly()) {
            out.println(file + ": no faults");
            return ExitCode.OK;
        }
        return serve(new SettingsWatch(Path.of(file), settings.get()), settings.get());
    }

    private static ExitCode serve(SettingsWatch watch, RelayNodeSettings settings) {
        Logger log = LoggerFactory.getLogger(RelayMain.class);
        if (!ClassArchive.isInUse(System.getProperty("java.vm.info", ""))) {
            log.warn("the class archive was refused, so that the start takes longer; -Xshare:on names the reason");
        }
        try (RelayProcess process = new RelayProcess(settings, watch)) {
            process.run();
            return ExitCode.OK;
        } catch (Exception e) {
            log.error("node failed", e);
            return ExitCode.FAILED;
        } finally {
            flushLogs();
        }
    }

    private static void flushLogs() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }
}
