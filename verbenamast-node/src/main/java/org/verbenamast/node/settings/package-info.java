/** The settings of a node and how they are read. */
package org.verbenamast.node.settings;
