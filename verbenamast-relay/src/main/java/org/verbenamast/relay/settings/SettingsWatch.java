package org.verbenamast.relay.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.wire.settings.SettingsFault;
import org.verbenamast.wire.settings.SettingsFile;

/**
 * Detects changes of the settings file while the node runs. A file with faults, for example one that is half written,
 * is ignored until it changes again.
 */
public final class SettingsWatch {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsWatch.class);

    private final Path file;
    private RelayNodeSettings inForce;
    private Optional<Stamp> lastStamp = Optional.empty();

    /** The file attributes that reveal a change without reading the file. */
    private record Stamp(FileTime changedAt, long bytes) {}

    /**
     * Creates a watch for a file that has been read.
     *
     * @param file the settings file
     * @param inForce the settings read from it
     */
    public SettingsWatch(Path file, RelayNodeSettings inForce) {
        this.file = Objects.requireNonNull(file, "file");
        this.inForce = Objects.requireNonNull(inForce, "inForce");
        this.lastStamp = readStamp();
    }

    private Optional<Stamp> readStamp() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return Optional.of(new Stamp(attributes.lastModifiedTime(), attributes.size()));
        } catch (IOException e) {
            if (lastStamp.isPresent()) {
                LOG.warn("can't read the attributes of settings file {}; keeping the settings in force", file, e);
            }
            return Optional.empty();
        }
    }

    /**
     * Reads the file if its attributes have changed since the last call.
     *
     * @return the settings now in force, or empty if they have not changed
     */
    public Optional<RelayNodeSettings> readIfChanged() {
        Optional<Stamp> stamp = readStamp();
        boolean changed = stamp.isPresent() && !stamp.equals(lastStamp);
        lastStamp = stamp;
        return changed ? read() : Optional.empty();
    }

    /**
     * Reads the file even if its attributes are unchanged, for example after a signal to reload it.
     *
     * @return the settings now in force, or empty if they have not changed
     */
    public Optional<RelayNodeSettings> read() {
        Either<List<SettingsFault>, RelayNodeSettings> next =
                SettingsFile.read(file, settings -> RelayNodeSettings.read(settings, inForce.limits()));
        if (next.isLeft()) {
            next.getLeft().forEach(fault -> LOG.warn("new settings rejected: {}: {}", file, fault));
            return Optional.empty();
        }
        return apply(next.get());
    }

    private Optional<RelayNodeSettings> apply(RelayNodeSettings next) {
        RelayNodeSettings applicable = inForce.withTimingsOf(next);
        if (!applicable.equals(next)) {
            LOG.warn("changed names and addresses in the settings take effect only after a restart");
        }
        if (applicable.equals(inForce)) {
            return Optional.empty();
        }
        LOG.info("settings in force: {}", applicable);
        inForce = applicable;
        return Optional.of(applicable);
    }
}
