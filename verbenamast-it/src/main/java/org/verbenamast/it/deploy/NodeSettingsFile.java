package org.verbenamast.it.deploy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes the settings file of a node. */
final class NodeSettingsFile {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int SEEDS = 3;

    private NodeSettingsFile() {}

    static Path write(Path folder, DeploymentPlan.HostPlan host, Wiring wiring) throws IOException {
        ObjectNode settings = MAPPER.createObjectNode();
        settings.put("node", host.name());
        settings.put("zone", host.zone());
        settings.put("service", host.service().name());
        settings.put("callers", host.callers());
        settings.put("operators", host.operators());
        settings.put("peers", host.peers());
        settings.put("advertise", wiring.advertised(host));
        settings.put("platform", wiring.platform(host));
        ArrayNode seeds = settings.putArray("seeds");
        host.plan().hosts().stream().limit(SEEDS).forEach(seed -> seeds.add(wiring.advertised(seed)));
        ArrayNode services = settings.putArray("services");
        for (ServicePlan service : host.plan().services()) {
            services.addObject()
                    .put("name", service.name())
                    .put("keyed", service.keyed())
                    .put("slices", service.slices())
                    .put("chunkSlices", service.chunkSlices())
                    .put("fenced", service.fenced());
        }
        Path file = folder.resolve(host.name() + ".json");
        Files.write(file, MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(settings));
        return file;
    }
}
