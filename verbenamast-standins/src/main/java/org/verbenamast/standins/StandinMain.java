package org.verbenamast.standins;

import java.io.IOException;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.activej.eventloop.Eventloop;
import org.verbenamast.standins.beats.BeatsOptions;
import org.verbenamast.standins.beats.BeatsStandin;
import org.verbenamast.standins.platform.PlatformOptions;
import org.verbenamast.standins.platform.PlatformStandin;
import org.verbenamast.standins.proxy.ProxyOptions;
import org.verbenamast.standins.proxy.ProxyStandin;
import org.verbenamast.standins.rows.RowsOptions;
import org.verbenamast.standins.rows.RowsStandin;
import org.verbenamast.standins.server.ServerOptions;
import org.verbenamast.standins.server.ServerStandin;

/** Runs one of the stand-ins: {@code platform}, {@code server} or {@code proxy}. */
public final class StandinMain {

    private static final int BAD_INPUT = 2;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private StandinMain() {}

    /**
     * Runs a stand-in until the process is ended.
     *
     * @param args the stand-in's name and its options
     * @throws IOException where an address can't be used
     */
    public static void main(String[] args) throws IOException {
        PlatformOptions platform = new PlatformOptions();
        ServerOptions server = new ServerOptions();
        ProxyOptions proxy = new ProxyOptions();
        RowsOptions rows = new RowsOptions();
        BeatsOptions beats = new BeatsOptions();
        JCommander commander = JCommander.newBuilder()
                .addCommand("platform", platform)
                .addCommand("server", server)
                .addCommand("proxy", proxy)
                .addCommand("rows", rows)
                .addCommand("beats", beats)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("verbenamast-standins: " + e.getMessage());
            System.exit(BAD_INPUT);
        }
        Eventloop eventloop = Eventloop.builder()
                .withCurrentThread()
                .withTimeProvider(() -> System.nanoTime() / NANOS_PER_MILLI)
                .build();
        switch (String.valueOf(commander.getParsedCommand())) {
            case "platform" -> new PlatformStandin(eventloop, platform).listen();
            case "server" -> new ServerStandin(eventloop, server).listen();
            case "rows" -> new RowsStandin(eventloop, rows).listen();
            case "beats" -> new BeatsStandin(eventloop, beats).listen();
            case "proxy" -> new ProxyStandin(eventloop, proxy).listen();
            default -> {
                commander.usage();
                System.exit(BAD_INPUT);
            }
        }
        eventloop.keepAlive(true);
        eventloop.run();
    }
}
