package org.verbenamast.node;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;
import org.verbenamast.core.effect.StopReason;
import org.verbenamast.node.settings.NodeSettings;
import org.verbenamast.node.settings.NodeSettingsReader;
import org.verbenamast.wire.settings.SettingsFault;
import org.verbenamast.wire.settings.SettingsFile;

/** The process beside a backend server. */
public final class NodeMain {

    private static final String PROGRAM = "verbenamast-node";

    private NodeMain() {}

    /**
     * Runs the node until it is asked to stop.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err).code());
    }

    static ExitCode run(String[] args, PrintStream out, PrintStream err) {
        NodeOptions options = new NodeOptions();
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
            out.println(PROGRAM + " " + version());
            return ExitCode.OK;
        }
        return runWithFile(options, out, err);
    }

    private static String version() {
        String version = NodeMain.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static ExitCode runWithFile(NodeOptions options, PrintStream out, PrintStream err) {
        boolean checkOnly = !options.checkSettings().isEmpty();
        String file = checkOnly ? options.checkSettings() : options.settings();
        if (file.isEmpty()) {
            err.println(PROGRAM + ": --settings FILE is needed; --help lists the options");
            return ExitCode.BAD_INPUT;
        }
        Either<List<SettingsFault>, NodeSettings> settings = SettingsFile.read(Path.of(file), NodeSettingsReader::read);
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> err.println(PROGRAM + ": " + file + ": " + fault));
            return ExitCode.BAD_INPUT;
        }
        if (checkOnly) {
            out.println(file + ": no faults");
            return ExitCode.OK;
        }
        return serve(settings.get());
    }

    private static ExitCode serve(NodeSettings settings) {
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        Logger log = LoggerFactory.getLogger(NodeMain.class);
        try (NodeProcess process = new NodeProcess(settings)) {
            StopReason reason = process.run();
            log.info("node stopped");
            return reason.restarts() ? ExitCode.ENDED : ExitCode.OK;
        } catch (Exception e) {
            log.error("node failed", e);
            return ExitCode.FAILED;
        } finally {
            flushLogs();
        }
    }

    /** Writes out the log's queue, which would be lost at the exit. */
    private static void flushLogs() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }
}
