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
 * Looks whether the settings file has changed while the node runs. A file with faults, for example one that is half
 * written, changes nothing and is read again when it has changed once more.
 */
public final class SettingsWatch {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsWatch.class);

    private final Path file;
    private RelayNodeSettings inForce;
    private Optional<Stamp> lastStamp = Optional.empty();

    /** By what a change of the file is told without reading it. */
    private record Stamp(FileTime changedAt, long bytes) {}

    /**
     * Makes a watch of a file that has been read.
     *
     * @param file the settings file
     * @param inForce what was read from it
     */
    public SettingsWatch(Path file, RelayNodeSettings inForce) {
        this.file = Objects.requireNonNull(file, "file");
        this.inForce = Objects.requireNonNull(inForce, "inForce");
        this.lastStamp = readStamp();
    }

    private Optional<Stamp> readStamp() {
        try {
            BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
            return Optional.of(new Stamp(now.lastModifiedTime(), now.size()));
        } catch (IOException e) {
            if (lastStamp.isPresent()) {
                LOG.warn("settings file {} can't be looked at; the settings in force stay", file, e);
            }
            return Optional.empty();
        }
    }

    /**
     * Looks whether the file has changed, and reads it where it has.
     *
     * @return the settings that are in force from now on, where they differ from the ones before
     */
    public Optional<RelayNodeSettings> readIfChanged() {
        Optional<Stamp> now = readStamp();
        boolean changed = now.isPresent() && !now.equals(lastStamp);
        lastStamp = now;
        return changed ? read() : Optional.empty();
    }

    /**
     * Reads the file, whether it looks changed or not: the node was told that it has changed.
     *
     * @return the settings that are in force from now on, where they differ from the ones before
     */
    public Optional<RelayNodeSettings> read() {
        Either<List<SettingsFault>, RelayNodeSettings> next = SettingsFile.read(file, RelayNodeSettings::read);
        if (next.isLeft()) {
            next.getLeft().forEach(fault -> LOG.warn("settings stay as they are: {}: {}", file, fault));
            return Optional.empty();
        }
        return apply(next.get());
    }

    private Optional<RelayNodeSettings> apply(RelayNodeSettings next) {
        RelayNodeSettings possible = inForce.withTimingsOf(next);
        if (!possible.equals(next)) {
            LOG.warn("settings that name who the node is or where it listens change with its next start only");
        }
        if (possible.equals(inForce)) {
            return Optional.empty();
        }
        LOG.info("settings in force: {}", possible);
        inForce = possible;
        return Optional.of(possible);
    }
}
