/** A stand-in for a backend server that sends heartbeats and holds keys. */
package org.verbenamast.standins.beats;
