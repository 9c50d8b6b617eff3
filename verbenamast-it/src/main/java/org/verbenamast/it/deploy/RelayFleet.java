package org.verbenamast.it.deploy;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.platform.RequestFields;

/**
 * Relays as processes of their own, each with a stand-in for a backend server, and one stand-in for the store of rows.
 * The first hosts run the keyed service {@code stock}, the last one {@code book}.
 */
public final class RelayFleet implements AutoCloseable {

    private static final int PORTS_PER_HOST = 7;
    /** The number of a host's port at which the proxy takes connections to the store. */
    private static final int STORE_ROUTE = 6;

    private static final long END_SECONDS = 10;
    private static final int GRACE_SECONDS = 6;
    private static final String DEADLINE_MILLIS = "2500";
    private static final String MANIFEST = """
            {"version": 1,
             "routes": [
              {"name": "stock", "host": "127.0.0.1", "prefix": "/stock/", "kind": "safe", "timeoutMs": 3000,
               "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2, "service": "stock"},
              {"name": "book", "host": "127.0.0.1", "prefix": "/book/", "kind": "unsafe", "timeoutMs": 3000,
               "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "service": "book"}],
             "services": [{"name": "stock", "sharded": true}, {"name": "book"}]}
            """;

    private final Path folder;
    private final Programs programs;
    private final PortBlock ports;
    private final int hosts;
    private final List<Process> relays = new ArrayList<>();
    private final List<Process> servers = new ArrayList<>();
    private final List<Process> others = new ArrayList<>();
    private final Wiring wiring;
    private List<String> flags = Programs.NODE_FLAGS;
    private String limits = "{}";

    private RelayFleet(Programs programs, Path folder, PortBlock ports, int hosts, Wiring wiring) {
        this.folder = Objects.requireNonNull(folder, "folder");
        this.programs = Objects.requireNonNull(programs, "programs");
        this.ports = ports;
        this.hosts = hosts;
        this.wiring = Objects.requireNonNull(wiring, "wiring");
    }

    /**
     * Starts a fleet.
     *
     * @param root the root of the repository
     * @param folder where settings, logs and records go; what is there is deleted
     * @param hosts how many hosts, two at least
     * @param wiring whether the store is reached through the fault proxy, on a route for each host
     * @return the fleet; it may not be ready yet
     * @throws IOException where a process can't be started
     */
    public static RelayFleet start(Path root, Path folder, int hosts, Wiring wiring) throws IOException {
        return start(root, folder, hosts, wiring, List.of());
    }

    /**
     * Starts a fleet whose relays run with a command of their own.
     *
     * @param root the root of the repository
     * @param folder where settings, logs and records go; what is there is deleted
     * @param hosts how many hosts, two at least
     * @param wiring whether the store is reached through the fault proxy, on a route for each host
     * @param relayCommand the command that starts a relay, run in {@code root}; the usual one where empty
     * @return the fleet; it may not be ready yet
     * @throws IOException where a process can't be started
     */
    public static RelayFleet start(Path root, Path folder, int hosts, Wiring wiring, List<String> relayCommand)
            throws IOException {
        Processes.emptyFolder(folder);
        Programs programs = new Programs(root, folder, relayCommand);
        RelayFleet fleet =
                new RelayFleet(programs, folder, PortBlock.reserve(hosts * PORTS_PER_HOST + 2), hosts, wiring);
        Path manifest = Files.writeString(folder.resolve("manifest.json"), MANIFEST);
        fleet.others.add(fleet.programs.standin(
                "rows", List.of("rows", "--listen", fleet.store(), "--manifest", manifest.toString())));
        if (wiring == Wiring.PROXIED) {
            fleet.startProxy();
        }
        for (int host = 0; host < hosts; host++) {
            fleet.relays.add(null);
            fleet.servers.add(null);
            fleet.startRelay(host);
            fleet.startServer(host);
        }
        return fleet;
    }

    private String address(int port) {
        return "127.0.0.1:" + PortBlock.port(ports.base(), port);
    }

    private void startProxy() throws IOException {
        List<String> args = new ArrayList<>(List.of("proxy", "--control", proxyControl()));
        for (int host = 0; host < hosts; host++) {
            args.add("--route");
            args.add(storeRoute(host) + "=" + address(host, STORE_ROUTE) + "=" + store());
        }
        others.add(programs.standin("proxy", args));
    }

    /**
     * Returns the address where faults of the proxy are set.
     *
     * @return the address
     */
    public String proxyControl() {
        return address(hosts * PORTS_PER_HOST + 1);
    }

    /**
     * Returns the proxy's route from a host to the store.
     *
     * @param host the host
     * @return the name of the route
     */
    public String storeRoute(int host) {
        return "store-" + host;
    }

    /**
     * Returns the address of the store, where operators write and its drills are begun.
     *
     * @return the address
     */
    public String store() {
        return address(hosts * PORTS_PER_HOST);
    }

    private String address(int host, int which) {
        return address(host * PORTS_PER_HOST + which);
    }

    private String service(int host) {
        return host == hosts - 1 ? "book" : "stock";
    }

    /**
     * Starts the relay of a host.
     *
     * @param host the host
     * @throws IOException where the process can't be started
     */
    public void startRelay(int host) throws IOException {
        startRelay(host, GRACE_SECONDS);
    }

    /**
     * Starts the relay of a host with a grace period of its own.
     *
     * @param host the host
     * @param graceSeconds the time between SIGTERM and the latest exit of the process, in seconds
     * @throws IOException where the process can't be started
     */
    public void startRelay(int host, int graceSeconds) throws IOException {
        String settings = """
                {"node": "node-%d", "zone": "a", "service": "%s", "server": "%s", "callers": "%s", "ready": "%s",
                 "heartbeats": "%s", "peers": "%s", "metrics": "%s", "store": "%s",
                 "graceSeconds": %d, "clients": %s}
                """.formatted(
                        host,
                        service(host),
                        address(host, 0),
                        address(host, 1),
                        address(host, 2),
                        address(host, 3),
                        address(host, 4),
                        address(host, 5),
                        wiring == Wiring.PROXIED ? address(host, STORE_ROUTE) : store(),
                        graceSeconds,
                        limits);
        Path file = Files.writeString(folder.resolve("node-" + host + ".json"), settings);
        relays.set(host, programs.relay("node-" + host, file, flags));
    }

    /**
     * Sets how relays are started from now on.
     *
     * @param jvmFlags the options of the virtual machine
     * @param clientLimits the limits on clients in the settings, in JSON
     */
    public void startRelaysWith(List<String> jvmFlags, String clientLimits) {
        flags = List.copyOf(jvmFlags);
        limits = Objects.requireNonNull(clientLimits, "clientLimits");
    }

    /**
     * Starts the backend server of a host.
     *
     * @param host the host
     * @throws IOException where the process can't be started
     */
    public void startServer(int host) throws IOException {
        servers.set(
                host,
                programs.standin(
                        "server-" + host,
                        List.of(
                                "beats",
                                "--listen",
                                address(host, 0),
                                "--heartbeats",
                                address(host, 3),
                                "--service",
                                service(host),
                                "--id",
                                "server-" + host,
                                "--record",
                                record(host).toString())));
    }

    /**
     * Kills the relay of a host.
     *
     * @param host the host
     * @throws IOException where the process does not end
     */
    public void killRelay(int host) throws IOException {
        kill(relays.get(host));
    }

    /**
     * Kills the backend server of a host.
     *
     * @param host the host
     * @throws IOException where the process does not end
     */
    public void killServer(int host) throws IOException {
        kill(servers.get(host));
    }

    private static void kill(Process process) throws IOException {
        process.destroyForcibly();
        Processes.awaitEnd(process, END_SECONDS);
    }

    /**
     * Returns the relay of a host.
     *
     * @param host the host
     * @return the process
     */
    public Process relay(int host) {
        return relays.get(host);
    }

    /**
     * Returns the backend server of a host.
     *
     * @param host the host
     * @return the process
     */
    public Process server(int host) {
        return servers.get(host);
    }

    /**
     * Returns the file in which a backend server records what it runs.
     *
     * @param host the host
     * @return the file, which may not be there yet
     */
    public Path record(int host) {
        return folder.resolve("record-" + host + ".jsonl");
    }

    /**
     * Returns how many hosts there are.
     *
     * @return the number of hosts
     */
    public int hosts() {
        return hosts;
    }

    /**
     * Returns where callers of a host send their requests.
     *
     * @param host the host
     * @return the address
     */
    public String callers(int host) {
        return address(host, 1);
    }

    /**
     * Returns where the node of a host tells whether it is ready.
     *
     * @param host the host
     * @return the address
     */
    public String ready(int host) {
        return address(host, 2);
    }

    /**
     * Returns where the backend server of a host serves its node and is controlled.
     *
     * @param host the host
     * @return the address
     */
    public String serverAddress(int host) {
        return address(host, 0);
    }

    /**
     * Returns where the node of a host takes the notices of its backend server.
     *
     * @param host the host
     * @return the address
     */
    public String notices(int host) {
        return address(host, 3);
    }

    /**
     * Returns where the node of a host takes links of other nodes.
     *
     * @param host the host
     * @return the address
     */
    public String peers(int host) {
        return address(host, 4);
    }

    /**
     * Returns where the node of a host shows its metrics.
     *
     * @param host the host
     * @return the address
     */
    public String metrics(int host) {
        return address(host, 5);
    }

    /**
     * Begins a request of a caller.
     *
     * @param host the host where it begins
     * @param path the path
     * @param id the id of the attempt
     * @return the request
     */
    public HttpRequest.Builder request(int host, String path, String id) {
        return Http.to(callers(host), path)
                .header(RequestFields.ATTEMPT_ID, id)
                .header(RequestFields.TIME_LEFT, DEADLINE_MILLIS);
    }

    @Override
    public void close() throws IOException {
        List<Process> all = new ArrayList<>(relays);
        all.addAll(servers);
        all.addAll(others);
        all.forEach(Process::destroyForcibly);
        for (Process process : all) {
            Processes.awaitEnd(process, END_SECONDS);
        }
        ports.close();
    }
}
