package org.verbenamast.it.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.standins.server.Run;

/** Reads the records of all backend servers of a service, those of killed ones included. */
public final class Records {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Records() {}

    /**
     * Reads the records.
     *
     * @param deployment the deployment
     * @param service the name of the service
     * @return the requests that reached its backend servers, ordered by time
     * @throws IOException where a record can't be read
     */
    public static List<ServedRun> of(Deployment deployment, String service) throws IOException {
        Map<String, Path> files = new HashMap<>();
        for (HostPlan host : deployment.plan().hosts()) {
            if (host.service().name().equals(service)) {
                files.put(host.name(), deployment.record(host));
            }
        }
        return of(files);
    }

    /**
     * Reads the records of backend servers.
     *
     * @param files the file of each, by the name of its host; one that recorded nothing may have none
     * @return the requests that reached them, ordered by time
     * @throws IOException where a record can't be read
     */
    public static List<ServedRun> of(Map<String, Path> files) throws IOException {
        List<ServedRun> served = new ArrayList<>();
        for (Map.Entry<String, Path> file : files.entrySet()) {
            if (Files.exists(file.getValue())) {
                served.addAll(join(file.getKey(), read(file.getValue())));
            }
        }
        served.sort(Comparator.comparingLong(one -> one.run().startMicros()));
        return served;
    }

    private static List<Run> read(Path file) throws IOException {
        List<Run> runs = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            runs.add(MAPPER.readValue(line, Run.class));
        }
        return runs;
    }

    static List<ServedRun> join(String host, List<Run> runs) {
        Map<String, Long> ends = new HashMap<>();
        runs.stream()
                .filter(run -> Run.ENDED.equals(run.kind()))
                .forEach(run -> ends.put(run.request(), run.startMicros()));
        return runs.stream()
                .filter(run -> !Run.ENDED.equals(run.kind()))
                .map(run -> new ServedRun(host, run, ends.getOrDefault(run.request(), run.startMicros())))
                .toList();
    }
}
