"""
chalkyoke_fakes.memoryload

Load that fills the memory of gateway processes, and what becomes of them and of each request.
"""
