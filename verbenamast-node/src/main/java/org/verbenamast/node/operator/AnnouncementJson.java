package org.verbenamast.node.operator;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vavr.control.Either;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.wire.settings.SettingsFault;
import org.verbenamast.wire.settings.SettingsFile;
import org.verbenamast.wire.settings.SettingsNode;

/** Reads what a backend server announces. */
final class AnnouncementJson {

    private static final long MAX_SLOTS = 100_000;

    private AnnouncementJson() {}

    static Either<List<SettingsFault>, ServerAnnouncement> read(byte[] body) {
        return SettingsFile.parse("announcement", new String(body, StandardCharsets.UTF_8), AnnouncementJson::read);
    }

    private static ServerAnnouncement read(SettingsNode json) {
        return new ServerAnnouncement(
                json.form("service", "the name of a service", ServiceName::new, new ServiceName("-")),
                json.form("address", "an IP number and port", Address::parse, new Address("127.0.0.1", 1)),
                json.text("start", "an id of this run of the backend server"),
                (int) json.number("slots", "requests", 1, MAX_SLOTS, 0),
                (int) json.number("running", "requests", 0, MAX_SLOTS, 0),
                json.flag("draining", false));
    }
}
