package org.verbenamast.standins.server;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Keeps what reached a backend server, in memory and in a file that outlives a killed process. */
public final class RunLog {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<Run> runs = new ArrayList<>();
    private final OutputStream file;

    /**
     * Makes a log.
     *
     * @param file the file to append to; runs are kept in memory alone where the name is empty
     * @throws IOException where the file can't be opened
     */
    public RunLog(String file) throws IOException {
        this.file = file.isEmpty() ? OutputStream.nullOutputStream() : new FileOutputStream(file, true);
    }

    /**
     * Records a run.
     *
     * @param run the run
     */
    public void add(Run run) {
        runs.add(run);
        try {
            file.write((MAPPER.writeValueAsString(run) + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException("a run should always be recorded", e);
        }
    }

    List<Run> runs() {
        return runs;
    }
}
