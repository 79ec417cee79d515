/** Tests of what an agent loads and unloads. */
package org.cornelway.residency;
