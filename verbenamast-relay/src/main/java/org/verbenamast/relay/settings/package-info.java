/** The settings of a node. */
package org.verbenamast.relay.settings;
