/** Reads the settings of a relay node and detects their changes. */
package org.verbenamast.relay.settings;
